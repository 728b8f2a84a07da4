import {type ServerRecord} from './server-pool.js';

/** Outcome of an attempt at a backend server, as evidence on its release. */
export interface ReleaseOutcome {
	readonly service: string;
	readonly route: string;
	readonly record: ServerRecord;
	/** Whether the backend server ran the request and answered with an error status. */
	readonly isFailed: boolean;
	/** Time in milliseconds from sending the attempt to the head of its answer. */
	readonly latencyMs: number;
}

/** Observes the outcomes of attempts. */
export interface ReleaseObserver {
	observe(outcome: ReleaseOutcome): void;
}
