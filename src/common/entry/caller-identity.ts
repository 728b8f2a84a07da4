import {type ControlView} from '../control/control-view.js';
import {type DocumentCustomer, type ServiceDocument} from '../documents/service-document.js';
import {serviceKind} from '../documents/service-kind.js';
import {modelOf, type VersionRef} from '../documents/version-ref.js';
import {RefusalError} from './refusal-error.js';

/** A customer and one of the services that it may use. */
export interface Entitlement {
	readonly customer: DocumentCustomer;
	readonly document: ServiceDocument;
	readonly withdrawn: readonly VersionRef[];
}

/** Service and versions that a request names. */
export interface ResolvedModel extends Entitlement {
	readonly requested?: readonly VersionRef[];
}

/**
Finds the services of the customer whose bearer key has the given hash.

@throws RefusalError when no document lists the key.
*/
export function entitlementsOf(view: ControlView, keySha256: string): Entitlement[] {
	const found: Entitlement[] = [];
	for (const {document, withdrawn} of view.documents.values()) {
		const customer = document.customers.find(customer => customer.keySha256 === keySha256);
		if (customer) {
			found.push({customer, document, withdrawn});
		}
	}

	if (found.length === 0) {
		throw new RefusalError('unknown-key', 'The bearer key is not known.', {status: 401});
	}

	return found;
}

/** Versions that the customer may use and that are not withdrawn. */
export function allowedVersions({customer, document, withdrawn}: Entitlement): VersionRef[] {
	return document.versions.filter(ref => (customer.allow?.includes(ref) ?? true) && !withdrawn.includes(ref));
}

/**
Resolves the `model` of a request: a service name, a model, or `model@version`.

@throws RefusalError when the customer may not use it.
*/
export function resolveModel(entitlements: readonly Entitlement[], model: string): ResolvedModel {
	const models = entitlements.filter(({document}) => document.kind === serviceKind.model);
	const service = models.find(({document}) => document.service === model);
	if (service) {
		return service;
	}

	for (const entitlement of models) {
		const requested = allowedVersions(entitlement).filter(ref => ref === model || modelOf(ref) === model);
		if (requested.length > 0) {
			return {...entitlement, requested};
		}
	}

	throw new RefusalError('model-not-allowed', `The model ${model} does not exist or is not allowed for this customer.`, {status: 404, param: 'model'});
}
