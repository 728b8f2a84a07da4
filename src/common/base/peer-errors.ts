import {AppError} from './app-error.js';

/** No reply arrived within the timeout; the call may have been executed. */
export class PeerTimeoutError extends AppError {
	readonly code = 'peer-timeout' as const;
}

/** The call was not delivered and certainly not executed. */
export class PeerUnreachableError extends AppError {
	readonly code = 'peer-unreachable' as const;
}

/** The handler of the peer failed. */
export class PeerCallError extends AppError {
	readonly code = 'peer-call-failed' as const;

	/** `peerCode` is the code of the error at the peer, `data` contains its JSON fields. */
	constructor(message: string, readonly peerCode: string, readonly data?: unknown) {
		super(message);
	}
}
