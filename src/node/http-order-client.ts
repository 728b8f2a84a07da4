import {Agent} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type EngineOrder} from '../common/orders/engine-order.js';
import {type OrderClient} from '../common/orders/order-client.js';
import {OrderError} from '../common/orders/order-error.js';
import {orderPath, engineHeaders} from './engine-protocol.js';
import {timedConnector} from './timed-connector.js';

/** Timeout in milliseconds. An engine acknowledges an order immediately and carries it out afterwards. */
const timeoutMs = 3000;
/** Bytes of the body of an answer, which has no content. */
const maxAnswerBytes = 64 * 1024;

/** Sends orders to engines over HTTP: `POST /v1/orders` with the fencing number in a header. */
export class HttpOrderClient implements OrderClient, Disposable {
	private readonly _agent = new Agent({
		connect: timedConnector(timeoutMs), headersTimeout: timeoutMs, bodyTimeout: timeoutMs, maxResponseSize: maxAnswerBytes,
	});

	/** `_secret` is sent with each order, for engines that authenticate the sender. */
	constructor(private readonly _secret: string | undefined) {}

	async send({kind, server, ref, fencing}: EngineOrder): Promise<void> {
		try {
			const res = await this._agent.request({
				origin: `http://${server.address}`,
				path: orderPath,
				method: 'POST',
				// The timeouts of the client begin anew with each interim answer and each piece of a body.
				signal: AbortSignal.timeout(timeoutMs),
				headers: {
					'content-type': 'application/json',
					[engineHeaders.fencing]: String(fencing),
					...(this._secret !== undefined && {authorization: `Bearer ${this._secret}`}),
				},
				body: JSON.stringify({kind, ref}),
			});
			await res.body.dump();
			if (res.statusCode !== 202) {
				throw new OrderError(`${server.id} refused the order with status ${res.statusCode}`);
			}
		} catch (error) {
			throw error instanceof OrderError ? error : new OrderError(`${server.id} did not answer the order`, {cause: error});
		}
	}

	dispose(): void {
		void this._agent.destroy();
	}
}
