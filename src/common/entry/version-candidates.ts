import {type BackendServer} from '../control/backend-server.js';
import {type ControlView} from '../control/control-view.js';
import {type VersionRef} from '../documents/version-ref.js';
import {allowedVersions} from './caller-identity.js';
import {isInOpenZone} from './open-servers.js';
import {type RequestContext} from './request-context.js';

/** A version that a request may use now, and the backend servers in open zones that serve it. */
export interface AvailableVersion {
	readonly ref: VersionRef;
	readonly inputCost: number;
	readonly outputCost: number;
	readonly servers: readonly BackendServer[];
}

/** Versions that are allowed, not withdrawn, not quarantined and served, according to the applied control state. */
export function availableVersions(view: ControlView, ctx: RequestContext): AvailableVersion[] {
	return usableRefs(view, ctx).map(ref => servedVersion(view, ref)).filter(version => version.servers.length > 0);
}

/** Returns the version if it is allowed, not withdrawn, not quarantined and served. */
export function availableVersion(view: ControlView, ctx: RequestContext, ref: VersionRef): AvailableVersion | undefined {
	if (!usableRefs(view, ctx).includes(ref)) {
		return undefined;
	}

	const version = servedVersion(view, ref);
	return version.servers.length > 0 ? version : undefined;
}

function usableRefs(view: ControlView, ctx: RequestContext): VersionRef[] {
	const record = view.documents.get(ctx.document.service);
	const customer = record?.document.customers.find(({name, keySha256}) => name === ctx.customer.name && keySha256 === ctx.customer.keySha256);
	if (!record || !customer) {
		return [];
	}

	return allowedVersions({customer, document: record.document, withdrawn: record.withdrawn})
		.filter(ref => (ctx.requested?.includes(ref) ?? true) && !view.isQuarantined(ctx.document.service, ctx.requestClass, ref));
}

function servedVersion(view: ControlView, ref: VersionRef): AvailableVersion {
	const servers: BackendServer[] = [];
	let inputCost = 0;
	let outputCost = 0;
	for (const server of view.backendServers.values()) {
		const offer = server.offers.find(offer => offer.ref === ref);
		if (offer && isInOpenZone(view, server)) {
			servers.push(server);
			// Prices of a version may differ between pools; the plan uses the highest.
			inputCost = Math.max(inputCost, offer.inputCost);
			outputCost = Math.max(outputCost, offer.outputCost);
		}
	}

	return {
		ref, inputCost, outputCost, servers,
	};
}
