import {type Urgency} from '../documents/urgency.js';

/** A request to be admitted. */
export interface AdmissionRequest {
	readonly customer: string;
	readonly service: string;
	readonly urgency: Urgency;
	/** Weight of the customer for its fair share. */
	readonly weight: number;
	/** Expected number of tokens, prompt and answer together. */
	readonly tokens: number;
	/** Monotonic time in milliseconds; a request that cannot start by then is refused immediately. */
	readonly deadlineAt: number;
}

/** Permission to run an admitted request. */
export interface AdmissionTicket {
	/** Releases the capacity of the request. `tokens` is the number of tokens actually used. */
	release(tokens: number): void;
}

/** Admits requests under limits, with fair shares and bounded queues. */
export interface AdmissionController {
	/**
	Waits for capacity, in order of urgency and fair share.

	@throws OverloadedError when the request is refused; the request did not run.
	@throws AdmissionAbortedError when the signal is aborted first; the request did not run.
	*/
	acquire(req: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionTicket>;
}
