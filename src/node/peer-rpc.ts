import {AppError} from '../common/base/app-error.js';

/** Path of the peer interface. */
export const peerPath = '/peer';
/** Header with the name of the calling host. */
export const peerHeader = 'catkinbeam-peer';

/** Header with the time of day in Unix milliseconds at which a call was sent. For display only: the clocks of two hosts may differ. */
export const sentAtHeader = 'catkinbeam-sent-at';

/** JSON-RPC error code of a failed handler, from the range that JSON-RPC 2.0 reserves for servers. */
export const handlerFailedCode = -32_000;

/** Data of a JSON-RPC error: code and data of the error that the peer's handler threw. */
export interface PeerErrorData {
	readonly code: string;
	readonly data?: unknown;
}

/** Encodes an error for a peer. Unexpected errors carry no details. */
export function peerErrorData(error: unknown): PeerErrorData {
	if (error instanceof AppError) {
		return {code: error.code, data: (error as {data?: unknown}).data};
	}

	return {code: 'internal'};
}
