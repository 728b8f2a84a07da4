import {type VersionRef} from '../documents/version-ref.js';
import {type CloseRecord, type OpenRecord, type PinRecord} from './ledger-record.js';

/** A closed request. */
export interface Bill extends Omit<CloseRecord, 'type'> {
	readonly customer: string;
	readonly service: string;
	readonly session?: string;
	readonly entry: string;
}

/** Result of opening a request. */
export type OpenResult =
	/** `pin` is the version of the session; present only if the pin was replaced since the session began. */
	| {readonly status: 'opened'; readonly pin?: VersionRef}
	/** The key belongs to a request that is still running. */
	| {readonly status: 'running'; readonly requestId: string}
	/** The key belongs to a closed request. */
	| {readonly status: 'recorded'; readonly bill: Bill}
	/** The key was used with another body. */
	| {readonly status: 'key-reused'};

/** Result of closing a request. */
export type CloseResult = {readonly status: 'closed' | 'already-closed'};

/** Result of a pin: the version in force for the session, which may differ from the requested one. */
export interface PinResult {
	readonly ref: VersionRef;
}

/**
Durable ledger of requests, bills and session pins, as used by an entry host. All methods resolve once the record is
durable on a quorum.

@throws LedgerUnavailableError when the record was not stored and never will be.
@throws LedgerUnknownError when the record was sent and its outcome was not known at the deadline.
@throws LedgerFencedError when this incarnation of the entry host has been fenced.
*/
export interface Ledger {
	open(record: OpenRecord): Promise<OpenResult>;
	close(record: CloseRecord): Promise<CloseResult>;
	pin(record: PinRecord): Promise<PinResult>;
}
