import {type Disposable} from '../common/base/disposable.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type HttpPeerTransport} from '../node/http-peer-transport.js';
import {peerPath} from '../node/peer-rpc.js';
import {type CallerRouter} from './caller-router.js';
import {type ControlRouter, handlePeerCall} from './control-router.js';
import {HttpServer} from './http-server.js';
import {parseAddress} from './listen-address.js';
import {type Settings} from './settings.js';

/** The two listeners of a daemon: one for callers, and one for peers, backend servers and operators. */
export class Listeners implements Disposable {
	/** Opens both listeners. @throws system errors, for example when an address is in use. */
	static async open(cfg: Settings): Promise<Listeners> {
		const callers = new HttpServer();
		const control = new HttpServer();
		const callerBound = await callers.listen(parseAddress(cfg.callerListen)!);
		const controlBound = await control.listen(parseAddress(cfg.controlListen)!);
		return new Listeners(callers, control, cfg.callerAddress ?? callerBound, cfg.controlAddress ?? controlBound);
	}

	private constructor(
		private readonly _callers: HttpServer,
		private readonly _control: HttpServer,
		/** Advertised address for callers. */
		readonly callerAddress: string,
		/** Advertised address for peers, backend servers and operators. */
		readonly controlAddress: string,
	) {}

	/** Number of callers' requests in flight. */
	get activeRequests(): number {
		return this._callers.active;
	}

	/** Serves only peer calls while the daemon starts. */
	servePeers(transport: HttpPeerTransport, secret: string | undefined): void {
		this._control.serve(async (req, res, url) => {
			if (url.pathname !== peerPath) {
				throw new RefusalError('starting', 'The daemon is starting.', {status: 503, retryAfterSeconds: 1});
			}

			await handlePeerCall(req, res, transport, secret);
		});
	}

	/** Serves all requests once the daemon has started. */
	serve(callers: CallerRouter, control: ControlRouter): void {
		this._callers.serve(async (req, res, url) => callers.route(req, res, url));
		this._control.serve(async (req, res, url) => control.route(req, res, url));
	}

	/** Drains the listener for callers: their keep-alive connections are closed. */
	drain(): void {
		this._callers.drain();
	}

	dispose(): void {
		this._callers.dispose();
		this._control.dispose();
	}
}
