import {type Bill} from './ledger.js';

/**
Result of one record:
- `0`: opened
- `1`: closed
- `2`: already closed
- `3`: the key was used with another body
- `p`: opened, and the pin of the session was replaced by this version
- `r`: the request with this id, which owns the key or has the same id, is still running
- `b`: bill of the closed request that owns the key `k`
- `v`: version in force for the session
- `x`: refused, because this limit of the state is reached
*/
export type EncodedResult = 0 | 1 | 2 | 3 | {readonly p: string} | {readonly r: string} | {readonly b: Bill; readonly k: string} | {readonly v: string} | {readonly x: string};

/** Why a batch was not applied. */
export type BatchRefusal =
	/** The incarnation has been fenced. */
	| 'fenced'
	/** A later batch of the incarnation has already been applied. */
	| 'stale'
	/** An earlier batch of the incarnation is missing. */
	| 'gap'
	/** The batch cannot be decoded; its sequence number is not used. */
	| 'malformed';

/** Result of a ledger command. */
export type LedgerReply =
	| {readonly applied: readonly EncodedResult[]}
	| {readonly refused: BatchRefusal}
	/** Number of open requests that the fence closed. */
	| {readonly fenced: number};
