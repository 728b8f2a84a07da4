import {type ServerRecord} from './server-pool.js';

/** Outcome of a request at a backend server, as evidence on its release. */
export interface ReleaseOutcome {
	readonly service: string;
	readonly route: string;
	readonly record: ServerRecord;
	/** Whether the backend server ran the request and failed it by itself. */
	readonly isFailed: boolean;
	/** Time in milliseconds to the head of the answer. */
	readonly latencyMs: number;
}

/** Takes in the outcomes of requests. */
export interface ReleaseObserver {
	observe(outcome: ReleaseOutcome): void;
}
