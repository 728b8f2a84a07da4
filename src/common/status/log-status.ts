/** State of one member of a replicated log. */
export interface LogStatus {
	readonly role: string;
	readonly term: number;
	readonly leader: string | undefined;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	readonly members: ReadonlyArray<{readonly host: string; readonly isVoter: boolean}>;
}
