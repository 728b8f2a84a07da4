import {type Member} from './member.js';

/** Entry of a replicated log: a command, a membership change, or neither (start of a term). */
export interface LogEntry {
	readonly index: number;
	readonly term: number;
	readonly command?: unknown;
	/** All members from this entry on. The change takes effect when the entry is appended, not when it is committed. */
	readonly members?: readonly Member[];
}
