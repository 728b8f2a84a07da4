import {type BackendServer} from '../control/backend-server.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type SelectionRequest} from '../routing/backend-selector.js';
import {type EntryServices} from './entry-services.js';
import {prefixHashes} from './prefix-hashes.js';
import {type ExecutionStatus} from './execution-status.js';
import {RefusalError} from './refusal-error.js';
import {type RequestContext} from './request-context.js';
import {availableVersion} from './version-candidates.js';

/** Selects the backend servers for one request, and excludes those at which an attempt failed. */
export class ServerSelector {
	readonly selection: SelectionRequest;
	private readonly _failed = new Set<string>();

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext) {
		this.selection = {
			urgency: _ctx.urgency,
			inputTokens: _ctx.inputTokens,
			maxTokens: _ctx.maxTokens,
			prefixHashes: prefixHashes(_ctx.prompt),
			exclude: this._failed,
		};
	}

	/** Shortest expected time to first token among the backend servers, in milliseconds. */
	expectedFirstTokenMs(servers: readonly BackendServer[]): number | undefined {
		return this._services.selector.expectedFirstTokenMs(this.selection, servers);
	}

	/** Excludes a backend server from further attempts. */
	exclude(server: BackendServer): void {
		this._failed.add(server.id);
	}

	/** Whether a backend server is available for another attempt, or for resuming an interrupted answer. */
	hasServer(ref: VersionRef, isResume: boolean): boolean {
		return this._candidates(ref, isResume).length > 0;
	}

	/** Selects a backend server for a hedge; undefined if none is available. */
	selectForHedge(ref: VersionRef, running: BackendServer): BackendServer | undefined {
		const servers = this._services.lease.isValid() ? this._candidates(ref, false).filter(({id}) => id !== running.id) : [];
		return this._services.selector.select(this.selection, servers);
	}

	/**
	Checks the lease and the applied control state, and selects a backend server. To be called immediately before the request is sent.

	@throws RefusalError when no backend server may take the request.
	*/
	select(ref: VersionRef, isResume: boolean, ran: ExecutionStatus): BackendServer {
		const {lease, selector, view} = this._services;
		const refusal = {status: 503, ran, retryAfterSeconds: 1};
		if (!lease.isValid()) {
			throw new RefusalError('lease-expired', 'This entry host has lost contact with the control leader; use another entry host.', refusal);
		}

		if (!availableVersion(view, this._ctx, ref)) {
			throw new RefusalError('version-unavailable', `The version ${ref} is no longer available.`, refusal);
		}

		const servers = this._candidates(ref, isResume);
		// Only a resume may return to a backend server that failed.
		const selection = servers.some(({id}) => this._failed.has(id)) ? {...this.selection, exclude: new Set<string>()} : this.selection;
		const server = selector.select(selection, servers);
		if (!server) {
			throw new RefusalError('no-backend-server', `No backend server can take a request for ${ref} now.`, refusal);
		}

		return server;
	}

	private _candidates(ref: VersionRef, isResume: boolean): BackendServer[] {
		const servers = availableVersion(this._services.view, this._ctx, ref)?.servers ?? [];
		const notFailed = servers.filter(({id}) => !this._failed.has(id));
		if (!isResume) {
			return notFailed;
		}

		const resumable = notFailed.filter(({canResume}) => canResume === true);
		// A broken connection does not mean that the engine failed, so the same engine may resume if no other can.
		return resumable.length > 0 ? resumable : servers.filter(({canResume}) => canResume === true);
	}
}
