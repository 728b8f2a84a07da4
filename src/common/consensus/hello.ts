import {type Member} from './member.js';

/** Request of a member to create a group together with another host, or to be admitted to its group. */
export interface HelloRequest {
	/** The sender, as it is to be added to the group. */
	readonly member: Member;
	/** Group of the sender, once known. */
	readonly groupId?: string;
}

/** State of the group as known to the receiver of a hello request. */
export interface HelloReply {
	/** The member on the responding host. */
	readonly member: Member;
	readonly isBootstrap: boolean;
	/** Group of the responding host; undefined if it belongs to none. */
	readonly groupId?: string;
	/** Members with which the group was created, until the first log entry is compacted. */
	readonly initialMembers?: readonly Member[];
	/** Hosts of the members known to the responding host, which may include the leader. */
	readonly memberHosts?: readonly string[];
}
