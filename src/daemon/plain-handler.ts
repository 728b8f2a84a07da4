import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Agent, type Dispatcher} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {serviceKind} from '../common/documents/service-kind.js';
import {type Entitlement, entitlementsOf} from '../common/entry/caller-identity.js';
import {DeadlineSignal} from '../common/entry/deadline-signal.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {isInOpenZone} from '../common/entry/open-servers.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type PlainExchange, PlainRequest} from '../common/entry/plain-request.js';
import {isConnectError} from '../node/connect-error.js';
import {nonEmptyData} from '../node/non-empty-data.js';
import {NotStartedError, startCheck} from '../node/start-check.js';
import {timedConnector} from '../node/timed-connector.js';
import {idHeaders, setIdHeaders} from './answer-headers.js';
import {callerSignal} from './caller-signal.js';
import {
	bearerHash, type CallerHeaders, readCallerHeaders, sha256,
} from './caller-headers.js';
import {type ForwardedBody, prepareBody} from './forwarded-body.js';
import {untilWritable} from './until-writable.js';

/** Methods that are idempotent by the definition of HTTP. */
const idempotentMethods = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE']);
/** Connect timeout in milliseconds. */
const connectTimeoutMs = 2000;
/** Headers that are not forwarded: hop-by-hop headers and those meant for catkinbeam itself. */
const droppedHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authorization', 'proxy-connection', 'host', 'authorization', 'expect']);

/** Forwards `/services/<name>/…` to the backend servers of a plain service, and streams request and response bodies. */
export class PlainHandler implements Disposable {
	/** Last chunk of each answer, which is sent once the request is billed. */
	private readonly _lastChunks = new WeakMap<ServerResponse, Uint8Array | undefined>();
	private readonly _agent = new Agent({
		connect: timedConnector(connectTimeoutMs), pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	}).compose(nonEmptyData);

	constructor(private readonly _services: EntryServices, private readonly _ids: {next(): string}, private readonly _entry: string) {}

	/** @throws RefusalError when the request is refused before the response has started. */
	async handle(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const entitlement = this._entitlement(req, url.pathname.split('/', 3)[2] ?? '');
		const headers = readCallerHeaders(req);
		const isIdempotent = headers.nonIdempotent === undefined ? idempotentMethods.has(req.method ?? '') : !headers.nonIdempotent;
		const requestId = this._ids.next();
		const signal = callerSignal(res);
		const body = await prepareBody(req, entitlement.document.limits.maxBodyBytes);
		const ctx = {
			requestId,
			customer: entitlement.customer,
			document: entitlement.document,
			urgency: headers.urgency ?? entitlement.document.urgency,
			key: headers.key,
			bodyHash: sha256(`${req.method} ${url.pathname}${url.search} ${body.hash}`),
			idempotent: isIdempotent,
			deadlineAt: this._deadlineAt(entitlement, headers),
		};
		const deadline = new DeadlineSignal(this._services.clock, ctx.deadlineAt, signal);
		const exchange: PlainExchange<Dispatcher.ResponseData> = {
			send: async server => this._send(req, url, {server, body, signal: deadline.signal}),
			forward: async answer => this._forwardAnswer(res, ctx.requestId, answer),
			end: () => {
				res.end(this._lastChunks.get(res));
			},
		};
		try {
			await new PlainRequest(this._services, ctx).run(exchange, deadline, signal);
		} catch (error) {
			setIdHeaders(res, requestId, this._entry);
			throw error;
		} finally {
			deadline.dispose();
		}
	}

	dispose(): void {
		void this._agent.destroy();
	}

	private _entitlement(req: IncomingMessage, service: string): Entitlement {
		const found = entitlementsOf(this._services.view, bearerHash(req))
			.find(({document}) => document.kind === serviceKind.plain && document.service === service);
		if (!found) {
			throw new RefusalError('service-not-allowed', `The service ${service} does not exist or is not allowed for this customer.`, {status: 404});
		}

		const length = Number(req.headers['content-length'] ?? 0);
		if (length > found.document.limits.maxBodyBytes) {
			throw new RefusalError('body-too-large', `The body has more than ${found.document.limits.maxBodyBytes} bytes.`, {status: 413});
		}

		return found;
	}

	private _deadlineAt({document}: Entitlement, {deadlineMs}: CallerHeaders): number {
		return this._services.clock.now() + Math.min(deadlineMs ?? document.limits.deadlineMs, document.limits.deadlineMs);
	}

	/** Sends the request to a backend server. @throws RefusalError that states whether the request ran. */
	private async _send(req: IncomingMessage, url: URL, {server, body, signal}: {server: BackendServer; body: ForwardedBody; signal: AbortSignal}): Promise<Dispatcher.ResponseData> {
		try {
			return await this._agent.compose(startCheck(() => isInOpenZone(this._services.view, server))).request({
				origin: `http://${server.address}`,
				path: `/${url.pathname.split('/').slice(3).join('/')}${url.search}`,
				method: req.method as Dispatcher.HttpMethod,
				headers: forwardedHeaders(req),
				// Undici accepts async iterables, although its type declaration does not list them.
				body: (body.content() ?? null) as Uint8Array | undefined,
				signal,
			});
		} catch (error) {
			if (error instanceof RefusalError) {
				throw error;
			}

			const {code} = error as {code?: string};
			const isWritten = !(error instanceof NotStartedError) && (!isConnectError(error) || !body.canSend);
			throw new RefusalError('backend-failed', `The backend server gave no answer (${code ?? 'unknown error'}).`, {status: 502, ran: isWritten ? executionStatus.unknown : executionStatus.no, cause: error});
		}
	}

	/** Forwards the answer except for its last chunk, so that the caller cannot have the whole answer before the request is billed. */
	private async _forwardAnswer(res: ServerResponse, requestId: string, answer: Dispatcher.ResponseData): Promise<void> {
		const headers = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => !droppedHeaders.has(name)));
		res.writeHead(answer.statusCode, {...headers, ...idHeaders(requestId, this._entry)});
		let previous: Uint8Array | undefined;
		for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
			if (previous && !res.write(previous)) {
				await untilWritable(res);
			}

			previous = chunk;
		}

		this._lastChunks.set(res, previous);
	}
}

function forwardedHeaders(req: IncomingMessage): Record<string, string | string[]> {
	const headers: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(req.headers)) {
		if (value !== undefined && !droppedHeaders.has(name) && !name.startsWith('catkinbeam-')) {
			headers[name] = value;
		}
	}

	return headers;
}
