import {request} from 'undici';
import {CliError} from './cli-error.js';
import {exitCode} from './exit-code.js';

/** Timeout in milliseconds of a request, above the 11 s for which the daemon retries a submission. */
const timeoutMs = 15_000;

/** Request to the operator interface. */
export interface OperatorRequest {
	readonly method?: 'GET' | 'POST' | 'DELETE';
	/** Path below `/operator/v1/`, or an absolute path. */
	readonly path: string;
	readonly query?: Readonly<Record<string, string | number | undefined>>;
	readonly body?: string;
}

/** Reply of the operator interface. */
export interface OperatorReply {
	readonly status: number;
	readonly body: unknown;
}

/** Calls the operator interface of a daemon. */
export class OperatorClient {
	/** `server` is the URL of the control listener of any daemon. */
	constructor(readonly server: string, private readonly _secret: string | undefined) {}

	/** Sends a request and returns the reply with any status but 401. @throws CliError without a reply, or when the secret is refused. */
	async call({method = 'GET', path, query = {}, body}: OperatorRequest): Promise<OperatorReply> {
		const url = new URL(path.startsWith('/') ? path : `/operator/v1/${path}`, this.server);
		for (const [name, value] of Object.entries(query)) {
			if (value !== undefined) {
				url.searchParams.set(name, String(value));
			}
		}

		const reply = await this._send(url, method, body);
		if (reply.status === 401) {
			throw new CliError(exitCode.unauthorized, `${this.server} refused the operator secret`, 'Set CATKINBEAM_OPERATOR_SECRET to the secret of the daemons.');
		}

		return reply;
	}

	/** Sends a GET request and returns the body. @throws CliError when the status is not 200. */
	async read<Value>(path: string, query?: OperatorRequest['query']): Promise<Value> {
		const {status, body} = await this.call({path, query});
		if (status === 200) {
			return body as Value;
		}

		const {message, code} = errorOf(body);
		if (status === 404) {
			throw new CliError(exitCode.notFound, message, 'List what exists with "catkinbeam show" without a name.');
		}

		if (status === 400) {
			throw new CliError(exitCode.usage, message, 'See "catkinbeam --help".');
		}

		throw new CliError(exitCode.unreachable, `${this.server}: ${message} (${code})`, 'Try another daemon with --server, or see "catkinbeam status".');
	}

	/** Sends a GET request and returns the body; undefined when there is no such object. @throws CliError with any other status than 200 and 404. */
	async find<Value>(path: string): Promise<Value | undefined> {
		try {
			return await this.read<Value>(path);
		} catch (error) {
			if (error instanceof CliError && error.exitCode === exitCode.notFound) {
				return undefined;
			}

			throw error;
		}
	}

	private async _send(url: URL, method: 'GET' | 'POST' | 'DELETE', body: string | undefined): Promise<OperatorReply> {
		try {
			const res = await request(url, {
				method, body, signal: AbortSignal.timeout(timeoutMs), headers: this._secret === undefined ? {} : {authorization: `Bearer ${this._secret}`},
			});
			const text = await res.body.text();
			return {status: res.statusCode, body: text === '' ? undefined : JSON.parse(text) as unknown};
		} catch (error) {
			throw new CliError(exitCode.unreachable, `no reply from ${this.server}`, 'Check the address given by --server or CATKINBEAM_SERVER, and that the daemon runs.', {cause: error});
		}
	}
}

/** Returns the code, the message and the issues in the body of an error reply. */
export function errorOf(body: unknown): {code: string; message: string; issues?: ReadonlyArray<{path: string; message: string}>} {
	const {error} = (body ?? {}) as {error?: {code?: string; message?: string; issues?: ReadonlyArray<{path: string; message: string}>}};
	return {code: error?.code ?? 'unknown', message: error?.message?.replace(/\.$/v, '') ?? 'the reply has no error message', issues: error?.issues};
}
