import {AppError} from '../base/app-error.js';

/** The record was not stored in time and never will be. */
export class LedgerUnavailableError extends AppError {
	readonly code = 'ledger-unavailable' as const;
}

/** This incarnation of the entry host has been fenced: the ledger has closed its open requests. */
export class LedgerFencedError extends AppError {
	readonly code = 'ledger-fenced' as const;
}

/**
The deadline of a record passed after it was sent and before its outcome was known, so it may be stored now or later.
The client continues to send the batch until the outcome is known, because later records must follow it.

- `open`: do not dispatch the request, and close it as not run. If the open is stored, the close is stored after it.
- `close`: end the answer as broken. The bill may still say `answered`, because all of the work was done.
- `pin`: try again. The first writer wins, so it does no harm if the first pin was stored.
*/
export class LedgerUnknownError extends AppError {
	readonly code = 'ledger-unknown' as const;
}

/** The record is malformed, for example because a name is too long, and was not sent. */
export class LedgerRecordError extends AppError {
	readonly code = 'ledger-record-invalid' as const;
}

/** No further attempt is allowed: the request is finished, or it is not idempotent and may have run. */
export class AttemptRefusedError extends AppError {
	readonly code = 'attempt-refused' as const;
}

/** The pinned version of the session must not be used, nor must the version in force after the replacement. */
export class SessionVersionError extends AppError {
	readonly code = 'session-version' as const;
}
