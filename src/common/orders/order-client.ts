import {type EngineOrder} from './engine-order.js';

/** Sends orders to engines. */
export interface OrderClient {
	/**
	Resolves when the engine has accepted the order; the engine executes it afterwards and announces the result.

	@throws OrderError when the engine refused the order or did not answer.
	*/
	send(order: EngineOrder): Promise<void>;
}
