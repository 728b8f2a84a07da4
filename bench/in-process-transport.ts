import {PeerCallError, PeerTimeoutError} from '../src/common/base/peer-errors.js';
import {type PeerTransport} from '../src/common/base/peer-transport.js';

type Handler = (params: unknown, from: string) => Promise<unknown>;

/** Transport between members in one process. Messages are copied as JSON; each direction takes one turn of the event loop. */
export class InProcessTransport {
	private readonly _hosts = new Map<string, Map<string, Handler>>();

	attach(self: string): PeerTransport {
		const handlers = new Map<string, Handler>();
		this._hosts.set(self, handlers);
		return {
			self,
			call: async (peer, method, params, timeoutMs) => this._call({
				self, peer, name: method.name, timeoutMs,
			}, JSON.stringify(params)),
			handle(method, handler) {
				handlers.set(method.name, handler as Handler);
				return {dispose: () => handlers.delete(method.name)};
			},
		};
	}

	private async _call<Result>({self, peer, name, timeoutMs}: {self: string; peer: string; name: string; timeoutMs: number}, message: string): Promise<Result> {
		return new Promise((resolve, reject) => {
			const timeout = setTimeout(() => {
				reject(new PeerTimeoutError(`${name} at ${peer}: no reply within ${timeoutMs} ms`));
			}, timeoutMs);
			setImmediate(async () => {
				try {
					const handler = this._hosts.get(peer)?.get(name);
					const reply = JSON.stringify(await handler?.(JSON.parse(message), self));
					if (handler) {
						clearTimeout(timeout);
						setImmediate(() => {
							resolve(JSON.parse(reply) as Result);
						});
					}
				} catch (error) {
					clearTimeout(timeout);
					reject(new PeerCallError((error as Error).message, (error as {code?: string}).code ?? 'internal'));
				}
			});
		});
	}
}
