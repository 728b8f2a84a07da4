import {type IncomingMessage, type ServerResponse} from 'node:http';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type HttpPeerTransport} from '../node/http-peer-transport.js';
import {peerHeader, peerPath, sentAtHeader} from '../node/peer-rpc.js';
import {type BackendHandler} from './backend-handler.js';
import {hasSecret} from './bearer-check.js';
import {sendJson} from './http-error.js';
import {type OperatorApi} from './operator-api.js';
import {operatorErrorReply} from './operator-errors.js';
import {readBody} from './read-body.js';
import {type Settings} from './settings.js';

/** Dependencies of `ControlRouter`. */
export interface ControlRouterOptions {
	readonly cfg: Settings;
	readonly transport: HttpPeerTransport;
	readonly backend: BackendHandler;
	readonly operator: OperatorApi;
}

/** Maximum size of a peer call in bytes, well above a snapshot chunk or a batch of log entries. */
const maxPeerBytes = 64 * 1024 * 1024;
const operatorPrefix = '/operator/v1/';
const backendPrefix = '/backend/v1/';

/** Routes the requests of peers, backend servers and operators. Each of the three has its own secret. */
export class ControlRouter {
	constructor(private readonly _options: ControlRouterOptions) {}

	/** Handles a request. @throws RefusalError when the request is refused before the response has started. */
	async route(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const {cfg, transport, backend} = this._options;
		if (url.pathname === peerPath) {
			await handlePeerCall(req, res, transport, cfg.peerSecret);
		} else if (url.pathname.startsWith(backendPrefix)) {
			checkSecret(req, cfg.backendSecret);
			await backend.handle(req, res, url.pathname.slice(backendPrefix.length));
		} else if (url.pathname.startsWith(operatorPrefix)) {
			checkSecret(req, cfg.operatorSecret);
			await this._handleOperator(req, res, url);
		} else {
			throw new RefusalError('not-found', `There is no ${url.pathname}.`, {status: 404});
		}
	}

	private async _handleOperator(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		try {
			const {status, body} = await this._options.operator.handle(req, url.pathname.slice(operatorPrefix.length), url.searchParams);
			sendJson(res, status, body);
		} catch (error) {
			const {status, body} = operatorErrorReply(error);
			sendJson(res, status, body);
		}
	}
}

/** Handles an RPC call of a peer. @throws RefusalError when its secret is missing or wrong. */
export async function handlePeerCall(req: IncomingMessage, res: ServerResponse, transport: HttpPeerTransport, secret: string | undefined): Promise<void> {
	checkSecret(req, secret);
	const text = await readBody(req, maxPeerBytes);
	const reply = await transport.receive(text, String(req.headers[peerHeader]), {sentAt: req.headers[sentAtHeader], isGone: () => res.destroyed});
	res.writeHead(200, {'content-type': 'application/json'});
	res.end(reply);
}

function checkSecret(req: IncomingMessage, secret: string | undefined): void {
	if (!hasSecret(req, secret)) {
		throw new RefusalError('wrong-secret', 'The secret is missing or wrong.', {status: 401});
	}
}
