/** Name of a peer method, with the types of its parameters and result. */
export interface PeerMethod<Params, Result> {
	readonly name: string;
	/** Never set; only carries the types. */
	readonly types?: (params: Params) => Result;
}

/** Declares a peer method, for example `peerMethod<Params, Result>('control.renew')`. */
export function peerMethod<Params, Result>(name: string): PeerMethod<Params, Result> {
	return {name};
}
