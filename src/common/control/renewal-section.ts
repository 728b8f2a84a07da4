/** Name of a section of the renewal, with the types of the part that daemons send and of the part that the leader returns. */
export interface RenewalSection<Request, Reply> {
	readonly name: string;
	/** Carries the types only; never set. */
	readonly types?: (request: Request) => Reply;
}

/** Declares a section of the renewal, for example `renewalSection<Demand[], Budget[]>('demand')`. */
export function renewalSection<Request, Reply>(name: string): RenewalSection<Request, Reply> {
	return {name};
}
