/** Message that must not be sent before the state it depends on is synced. */
export interface DeferredMessage {
	/** Term in which the message was created. */
	readonly term: number;
	/** Sends the message. */
	readonly send: () => void;
	/** Sends a refusal instead, if the term has changed before the sync. */
	readonly refuse: () => void;
}
