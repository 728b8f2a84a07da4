import {type Member} from './member.js';
import {type Role} from './role.js';

/** State of a group as seen by one member. */
export interface GroupStatus {
	readonly group: string;
	readonly identity: string;
	readonly role: Role;
	readonly term: number;
	/** Host of the leader, if known. */
	readonly leader: string | undefined;
	readonly hasLease: boolean;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	/** All members. `lag` is the number of committed entries that the member has not synced; a member that does not lead knows only its own. */
	readonly members: ReadonlyArray<Member & {readonly lag: number | undefined}>;
}
