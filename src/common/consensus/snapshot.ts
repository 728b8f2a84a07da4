import {type Member} from './member.js';

/** State of the state machine after the entry at `index`, with the members in effect there. */
export interface Snapshot {
	readonly index: number;
	readonly term: number;
	readonly members: readonly Member[];
	/** State in JSON. */
	readonly state: string;
}
