/** Committed entry of the log. Entries without a command start a term or change the members. */
export interface AppliedEntry<Command> {
	readonly index: number;
	readonly term: number;
	readonly command?: Command;
}
