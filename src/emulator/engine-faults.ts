/** Faults of an emulated engine, which tests and experiments switch on and off. */
export interface EngineFaults {
	/** Refuses every request with status 503. */
	refuses: boolean;
	/** Number of tokens after which the connection is reset; never when undefined. */
	resetAfterTokens: number | undefined;
	/** Sends answers without tokens. */
	sendsEmptyAnswer: boolean;
	/** Factor by which the skill of all versions is multiplied; 1 when healthy. */
	skillFactor: number;
	/** Accepts requests and never answers them. */
	hangs: boolean;
	/** Resets the connection once the request is accepted, before the answer starts. */
	resetsBeforeAnswer: boolean;
	/** Returns a wrong attempt id in the attempt header. */
	returnsWrongAttemptId: boolean;
}

/** Faults of a healthy engine: none. */
export function noFaults(): EngineFaults {
	return {
		refuses: false, resetAfterTokens: undefined, sendsEmptyAnswer: false, skillFactor: 1, hangs: false, resetsBeforeAnswer: false, returnsWrongAttemptId: false,
	};
}
