import {requestOverheadCode} from '../node/request-scanner.js';

const badRequest = 400;
/** Statuses for requests that the HTTP server rejects, by the code of its error. */
const statusByErrorCode: ReadonlyMap<string, number> = new Map([['HPE_HEADER_OVERFLOW', 431], [requestOverheadCode.head, 431], ['ERR_HTTP_REQUEST_TIMEOUT', 408]]);

/** Returns the status for bytes of a caller that are no request. */
export function rejectionStatus(error: Error): number {
	return statusByErrorCode.get((error as {code?: string}).code ?? '') ?? badRequest;
}
