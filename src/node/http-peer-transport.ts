import {
	JSONRPCClient, JSONRPCServer, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {Agent} from 'undici';
import {CallLoad, type MethodLoad} from '../common/base/call-load.js';
import {type Counters} from '../common/base/counters.js';
import {type Disposable} from '../common/base/disposable.js';
import {nullCounters} from '../common/base/null-counters.js';
import {type PeerCaller} from '../common/base/peer-caller.js';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../common/base/peer-errors.js';
import {type PeerMethod} from '../common/base/peer-method.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {AppError} from '../common/base/app-error.js';
import {PeerExchange} from './peer-exchange.js';
import {
	handlerFailedCode, peerErrorData, type PeerErrorData, peerHeader, peerPath, sentAtHeader,
} from './peer-rpc.js';
import {timedConnector} from './timed-connector.js';

/** Options of `HttpPeerTransport`. */
export interface HttpPeerTransportOptions {
	readonly counters?: Counters;
	/** Time of day in Unix milliseconds, sent with each call; calls name no time without it. */
	readonly wallTime?: () => number;
}

/** What is known of a call besides its text. */
export interface ReceivedCall {
	/** Value of the header with the time of sending, if there is one. */
	readonly sentAt?: string | string[] | undefined;
	/** Whether the caller has closed its connection. */
	readonly isGone?: () => boolean;
}

type Sender = {readonly from: string; readonly caller: PeerCaller};
type CallTarget = {readonly peer: string; readonly timeoutMs: number; failure?: AppError};

/** Connect timeout in milliseconds, well below an election timeout. */
const connectTimeoutMs = 500;
/** Connections per peer: a renewal that the peer holds open must not delay other calls. */
const connectionsPerPeer = 8;

/** Peer transport that uses JSON-RPC 2.0 over persistent HTTP connections. */
export class HttpPeerTransport implements PeerTransport, Disposable {
	private readonly _agent = new Agent({
		connections: connectionsPerPeer, pipelining: 1, connect: timedConnector(connectTimeoutMs), headersTimeout: 0, bodyTimeout: 0,
	});

	private readonly _server = new JSONRPCServer<Sender>({
		errorListener() {
			// Errors are returned to the caller, which counts them.
		},
	});

	private readonly _client: JSONRPCClient<CallTarget>;
	private readonly _load: CallLoad;
	private _addressLookup: ((peer: string) => string | undefined) | undefined;

	/**
	`_addressOf` returns the `ip:port` of a peer by its name, if known. `_secret` is sent with each call as a bearer token.
	*/
	constructor(
		readonly self: string,
		private readonly _addressOf: (peer: string) => string | undefined,
		private readonly _secret: string | undefined,
		private readonly _options: HttpPeerTransportOptions = {},
	) {
		this._load = new CallLoad(_options.counters ?? nullCounters);
		this._client = new JSONRPCClient<CallTarget>(async (payload, target) => {
			try {
				this._client.receive(await this._post(payload, target));
			} catch (error) {
				// The JSON-RPC client keeps only the message of an error, so the error itself is kept here.
				target.failure = error instanceof AppError ? error : undefined;
				throw error;
			}
		});
		this._server.mapErrorToJSONRPCErrorResponse = (id, error: unknown) => ({
			jsonrpc: '2.0',
			id,
			error: {code: handlerFailedCode, message: error instanceof Error ? error.message : 'unexpected error', data: peerErrorData(error)},
		});
	}

	/** Sets a lookup for addresses of peers that are not in the settings. */
	setAddressLookup(lookup: (peer: string) => string | undefined): void {
		this._addressLookup = lookup;
	}

	async call<Params, Result>(peer: string, method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result> {
		const target: CallTarget = {peer, timeoutMs};
		try {
			return await this._client.request(method.name, [params], target) as Result;
		} catch (error) {
			if (target.failure) {
				throw target.failure;
			}

			const {data, message} = error as {data?: PeerErrorData; message: string};
			throw new PeerCallError(message, data?.code ?? 'internal', data?.data);
		}
	}

	handle<Params, Result>(method: PeerMethod<Params, Result>, handler: (params: Params, from: string, caller: PeerCaller) => Promise<Result>): Disposable {
		this._server.addMethod(method.name, (async ([params]: [Params], {from, caller}: Sender) => handler(params, from, caller)) as never);
		return {
			dispose: () => {
				this._server.removeMethod(method.name);
			},
		};
	}

	/** Handles a JSON-RPC request. @returns the response as JSON. */
	async receive(text: string, from: string, {sentAt, isGone = () => false}: ReceivedCall = {}): Promise<string> {
		const ageMs = this._ageOf(sentAt);
		const request = parseRequest(text);
		const sender: Sender = {
			from, caller: {
				get isGone() {
					return isGone();
				},
			},
		};
		const reply = JSON.stringify(await (request ? this._server.receive(request, sender) : this._server.receiveJSON(text, sender)));
		this._load.record({
			method: request && this._server.hasMethod(request.method) ? request.method : 'unknown', receivedBytes: text.length, sentBytes: reply.length, isGone: isGone(), ageMs,
		});
		return reply;
	}

	/** Returns the calls by method that were handled since the last reading. */
	takeLoad(): Record<string, MethodLoad> {
		return this._load.take();
	}

	dispose(): void {
		void this._agent.destroy();
	}

	private async _post(payload: unknown, {peer, timeoutMs}: CallTarget): Promise<JSONRPCResponse> {
		const address = this._addressOf(peer) ?? this._addressLookup?.(peer);
		if (address === undefined) {
			throw new PeerUnreachableError(`the address of ${peer} is not known`);
		}

		const body = await this._exchange(address, payload, {peer, timeoutMs});
		try {
			return JSON.parse(body) as JSONRPCResponse;
		} catch (error) {
			throw new PeerTimeoutError(`unreadable reply from ${peer}`, {cause: error});
		}
	}

	/** Time in milliseconds since a call was sent, at least 0. */
	private _ageOf(sentAt: string | string[] | undefined): number | undefined {
		const {wallTime} = this._options;
		const at = typeof sentAt === 'string' ? Number(sentAt) : Number.NaN;
		return wallTime && Number.isFinite(at) ? Math.max(0, Math.round(wallTime() - at)) : undefined;
	}

	private async _exchange(address: string, payload: unknown, {peer, timeoutMs}: CallTarget): Promise<string> {
		const {wallTime} = this._options;
		const exchange = new PeerExchange(peer, timeoutMs);
		try {
			this._agent.dispatch({
				origin: `http://${address}`,
				path: peerPath,
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					[peerHeader]: this.self,
					...(wallTime && {[sentAtHeader]: String(Math.round(wallTime()))}),
					...(this._secret !== undefined && {authorization: `Bearer ${this._secret}`}),
				},
				body: JSON.stringify(payload),
			}, exchange);
		} catch (error) {
			exchange.onResponseError(undefined, error as Error);
		}

		return exchange.body;
	}
}

/** Parses a request; undefined when it is none, which the JSON-RPC server then answers. */
function parseRequest(text: string): JSONRPCRequest | undefined {
	try {
		const request = JSON.parse(text) as JSONRPCRequest | undefined;
		return typeof request?.method === 'string' ? request : undefined;
	} catch {
		return undefined;
	}
}
