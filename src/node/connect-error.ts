/** Codes of connection errors that occur before any byte of a request is written. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Whether an error of the HTTP client proves that no byte of the request was written. */
export function isConnectError(error: unknown): boolean {
	const {code} = error as {code?: string};
	return code !== undefined && connectErrorCodes.has(code);
}
