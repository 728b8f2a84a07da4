import {type Disposable} from './disposable.js';
import {type PeerCaller} from './peer-caller.js';
import {type PeerMethod} from './peer-method.js';

/** Remote calls between daemons. Delivery is neither ordered nor exactly once. */
export interface PeerTransport {
	/** Name of this host. */
	readonly self: string;
	/**
	Calls a method of a peer.

	@throws PeerTimeoutError when no reply arrived within the timeout: the call may have been executed.
	@throws PeerUnreachableError when the call was certainly not executed.
	@throws PeerCallError when the handler failed; carries its code and data.
	*/
	call<Params, Result>(peer: string, method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result>;
	/** Registers the handler of a method. `from` is the name of the calling host. */
	handle<Params, Result>(method: PeerMethod<Params, Result>, handler: (params: Params, from: string, caller: PeerCaller) => Promise<Result>): Disposable;
}
