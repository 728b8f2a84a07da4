import {type LedgerWaitResult} from './ledger-methods.js';

/** Waits for the outcome of requests that run at other entry hosts. */
export interface RequestWaiter {
	/**
	Waits until the request that owns the idempotency key is closed, for at most `timeoutMs`.

	@returns `running` when the request was not closed in time or the leader could not be reached.
	*/
	waitClosed(customer: string, key: string, requestId: string, timeoutMs: number): Promise<LedgerWaitResult>;
}
