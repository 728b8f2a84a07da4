import {JSONRPCClient, JSONRPCServer, type JSONRPCResponse} from 'json-rpc-2.0';
import {Agent} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../common/base/peer-errors.js';
import {type PeerMethod} from '../common/base/peer-method.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {AppError} from '../common/base/app-error.js';
import {PeerExchange} from './peer-exchange.js';
import {
	handlerFailedCode, peerErrorData, type PeerErrorData, peerHeader, peerPath,
} from './peer-rpc.js';
import {timedConnector} from './timed-connector.js';

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

	private readonly _server = new JSONRPCServer<string>({
		errorListener() {
			// Errors are returned to the caller, which counts them.
		},
	});

	private readonly _client: JSONRPCClient<CallTarget>;
	private _addressLookup: ((peer: string) => string | undefined) | undefined;

	/**
	`_addressOf` returns the `ip:port` of a peer by its name, if known. `_secret` is sent with each call as a bearer token.
	*/
	constructor(readonly self: string, private readonly _addressOf: (peer: string) => string | undefined, private readonly _secret: string | undefined) {
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

	handle<Params, Result>(method: PeerMethod<Params, Result>, handler: (params: Params, from: string) => Promise<Result>): Disposable {
		this._server.addMethod(method.name, (async ([params]: [Params], from: string) => handler(params, from)) as never);
		return {
			dispose: () => {
				this._server.removeMethod(method.name);
			},
		};
	}

	/** Handles a JSON-RPC request. @returns the response as JSON. */
	async receive(text: string, from: string): Promise<string> {
		return JSON.stringify(await this._server.receiveJSON(text, from));
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

	private async _exchange(address: string, payload: unknown, {peer, timeoutMs}: CallTarget): Promise<string> {
		const exchange = new PeerExchange(peer, timeoutMs);
		try {
			this._agent.dispatch({
				origin: `http://${address}`,
				path: peerPath,
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					[peerHeader]: this.self,
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
