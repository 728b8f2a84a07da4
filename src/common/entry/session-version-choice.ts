import {type ControlView} from '../control/control-view.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type VersionChoice} from '../ledger/session-pins.js';
import {allowedVersions} from './caller-identity.js';
import {RefusalError} from './refusal-error.js';
import {type RequestContext} from './request-context.js';

/** Chooses the version of a session based on the applied documents and quarantines. */
export class SessionVersionChoice implements VersionChoice {
	/** `_suggest` returns the version of a single-step plan; undefined if no version is available. */
	constructor(private readonly _view: ControlView, private readonly _ctx: RequestContext, private readonly _suggest: () => VersionRef | undefined) {}

	refusal(ref: VersionRef): string | undefined {
		const {document: {service}, customer: {name}, requestClass} = this._ctx;
		const record = this._view.documents.get(service);
		if (record?.withdrawn.includes(ref)) {
			return 'withdrawn';
		}

		const customer = record?.document.customers.find(customer => customer.name === name);
		if (!record || !customer || !allowedVersions({customer, document: record.document, withdrawn: record.withdrawn}).includes(ref)) {
			return 'not-allowed';
		}

		return this._view.isQuarantined(service, requestClass, ref) ? 'quarantined' : undefined;
	}

	choose(): VersionRef {
		const ref = this._suggest();
		if (ref === undefined) {
			throw new RefusalError('no-version-available', `No version of ${this._ctx.document.service} is available now.`, {status: 503, retryAfterSeconds: 1});
		}

		return ref;
	}
}
