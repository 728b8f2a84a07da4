/** All and bad requests of one subject. A subject is service, objective, version and customer, separated by `|`. */
export type BurnCountRow = readonly [subject: string, total: number, bad: number];

/** Requests of one process of an entry host in one hour. Only the leader may propose it. */
export interface BurnSums {
	readonly type: 'burn-sums';
	readonly host: string;
	readonly incarnation: number;
	/** Whole hours since the Unix epoch. */
	readonly hour: number;
	readonly rows: readonly BurnCountRow[];
	/** Unix milliseconds at the leader, by which the age of sums is determined. */
	readonly at: number;
}
