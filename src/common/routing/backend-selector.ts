import {type BackendServer} from '../control/backend-server.js';
import {type Urgency} from '../documents/urgency.js';
import {type LoadReport} from './load-report.js';

/** Properties of a request that the choice of a backend server depends on. */
export interface SelectionRequest {
	readonly urgency: Urgency;
	readonly inputTokens: number;
	readonly maxTokens: number;
	/** Hashes of the prompt's prefixes, shortest first; each prefix is one block of tokens longer than the one before. */
	readonly prefixHashes: readonly number[];
	/** Ids of backend servers on which this request has already failed. */
	readonly exclude: ReadonlySet<string>;
}

/** Request of this entry host in flight on a backend server. */
export interface Dispatch {
	/** Records that the first token arrived `delayMs` after the dispatch. */
	firstToken(delayMs: number): void;
	/** Records the end of the request; `failed` counts against the health of the backend server. */
	finish(result: {failed: boolean; outputTokens: number}): void;
}

/** Chooses backend servers by local in-flight requests, load reports, cached prefixes, availability zone and health. */
export interface BackendSelector {
	/**
	Best of the candidates, or undefined when none can take the request. Callers must not change the list afterwards;
	passing the same list until the directory changes saves most of the time of a selection.
	*/
	select(req: SelectionRequest, candidates: readonly BackendServer[]): BackendServer | undefined;
	/** Records that the request was sent to the server. */
	dispatch(req: SelectionRequest, server: BackendServer): Dispatch;
	/** Applies a load report from an answer or from the leader. */
	reportLoad(id: string, incarnation: number, report: LoadReport): void;
	/** Applies a cache event: prefixes that the server has stored or evicted. Events may be late or missing. */
	reportCache(id: string, incarnation: number, event: {sequence: number; stored: readonly number[]; evicted: readonly number[]}): void;
	/** Expected time to first token in milliseconds on the best candidate. */
	expectedFirstTokenMs(req: SelectionRequest, candidates: readonly BackendServer[]): number | undefined;
}
