import {type Disposable} from '../common/base/disposable.js';
import {type HttpListener, listenHttp} from './http-listener.js';

/** Half of an answer without a length. */
export const unframedText = 'x'.repeat(50_000);

/** A plain HTTP service that counts its calls and echoes their paths and bodies. */
export class EmulatedPlainService implements Disposable {
	/** Number of calls by `METHOD path`. */
	readonly calls = new Map<string, number>();
	/** Whether the connection is reset after a call has been executed and before it is answered. */
	resetsAfterCall = false;
	/** Set when an answer has no length and ends with its connection: whether that is reset after the first part of the answer. */
	unframedEnd: 'reset' | 'end' | undefined;
	private _listener: HttpListener | undefined;

	/** Address as `host:port`; available once started. */
	get address(): string {
		return this._listener!.address;
	}

	async start(): Promise<void> {
		this._listener = await listenHttp((req, res) => {
			const name = `${req.method} ${req.url}`;
			this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
			if (this.resetsAfterCall) {
				req.resume().once('end', () => {
					res.destroy();
				});
				return;
			}

			const {socket} = req;
			if (this.unframedEnd !== undefined) {
				socket.write(`HTTP/1.1 200 OK\r\n\r\n${unframedText}`);
				setTimeout(() => {
					if (this.unframedEnd === 'reset') {
						socket.resetAndDestroy();
					} else {
						socket.end(unframedText);
					}
				}, 30);
				return;
			}

			res.writeHead(200, {'content-type': req.headers['content-type'] ?? 'text/plain', 'echo-path': req.url ?? ''});
			req.pipe(res);
		});
	}

	dispose(): void {
		this._listener?.dispose();
	}
}
