/** The caller of a peer method while its call is handled. */
export interface PeerCaller {
	/** Whether the caller has given the call up, so that nobody reads the reply. */
	readonly isGone: boolean;
}
