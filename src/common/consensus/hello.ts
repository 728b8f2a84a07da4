import {type Member} from './member.js';

/** A member presents itself to another host: to create the group, or to be admitted to it. */
export interface HelloRequest {
	/** The caller as it wants to be admitted. */
	readonly member: Member;
	/** Group of the caller, once known. */
	readonly groupId?: string;
}

/** What a host knows about the group. */
export interface HelloReply {
	/** The answering host's own entry. */
	readonly member: Member;
	readonly isBootstrap: boolean;
	/** Set when the host belongs to a group. */
	readonly groupId?: string;
	/** Members with which the group was created, while the log still holds them. */
	readonly initialMembers?: readonly Member[];
	/** Hosts of the members that the host knows; one of them leads. */
	readonly memberHosts?: readonly string[];
}
