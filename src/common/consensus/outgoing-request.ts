import {type AppendRequest} from './append-request.js';
import {type Member} from './member.js';
import {type VoteRequest} from './vote-request.js';

/** Request of the core to another member, with the data that the core needs to process the reply. */
export type OutgoingRequest =
	| {readonly kind: 'vote'; readonly to: Member; readonly sentAt: number; readonly request: VoteRequest}
	| {readonly kind: 'append'; readonly to: Member; readonly sentAt: number; readonly epoch: number; readonly request: AppendRequest}
	| {readonly kind: 'snapshot'; readonly to: Member; readonly sentAt: number; readonly term: number}
	| {readonly kind: 'transfer'; readonly to: Member; readonly sentAt: number; readonly term: number};
