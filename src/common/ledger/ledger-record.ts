import {type VersionRef} from '../documents/version-ref.js';

/** Key of a session. */
export interface SessionKey {
	readonly customer: string;
	readonly service: string;
	readonly session: string;
}

/** Usage and cost of one attempt. */
export interface AttemptUsage {
	readonly attemptId: string;
	/** Version for an engine; absent for a plain service. */
	readonly ref?: VersionRef;
	readonly server: string;
	readonly inputTokens: number;
	readonly outputTokens: number;
	/** In the operator's currency unit. */
	readonly cost: number;
	readonly outcome: 'answered' | 'escalated' | 'failed' | 'cancelled';
}

/** Outcome of a request. */
export const requestOutcome = {
	answered: 'answered',
	failed: 'failed',
	cancelled: 'cancelled',
	/** The entry host was lost; the caller never got a complete answer. */
	interrupted: 'interrupted',
	/** It is not known whether a non-idempotent request ran. */
	unknown: 'unknown',
} as const;
export type RequestOutcome = typeof requestOutcome[keyof typeof requestOutcome];

/** Opens a request. It must be durable before any guarantee that depends on it is given. */
export interface OpenRecord {
	readonly type: 'open';
	readonly requestId: string;
	readonly customer: string;
	readonly service: string;
	readonly session?: string;
	/** Idempotency key of the caller, unique for the customer. */
	readonly key?: string;
	/** Hash of the request body, to detect that a key is reused with another body. */
	readonly bodyHash?: string;
	readonly idempotent: boolean;
}

/** Closes a request with its bill. */
export interface CloseRecord {
	readonly type: 'close';
	readonly requestId: string;
	readonly outcome: RequestOutcome;
	/** Version that answered. */
	readonly ref?: VersionRef;
	readonly cost: number;
	readonly attempts: readonly AttemptUsage[];
	/** True when certainly no backend server ran the request; its idempotency key becomes free again. */
	readonly notRun?: boolean;
	/** Answer of a request with a key, for resends; an answer above 16 KiB is left out. */
	readonly answer?: string;
	/** Unix milliseconds. */
	readonly at: number;
}

/** Pins a session to a version; with `replaces` it is a compare-and-set. */
export interface PinRecord extends SessionKey {
	readonly type: 'pin';
	readonly ref: VersionRef;
	readonly replaces?: VersionRef;
	/** Cause of the replacement; present if and only if `replaces` is. */
	readonly cause?: string;
	/** Unix milliseconds. */
	readonly at: number;
}

/** Record sent by an entry host. */
export type LedgerRecord = OpenRecord | CloseRecord | PinRecord;
