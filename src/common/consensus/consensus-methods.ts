import {peerMethod} from '../base/peer-method.js';
import {type AppendReply} from './append-reply.js';
import {type AppendRequest} from './append-request.js';
import {type HelloReply, type HelloRequest} from './hello.js';
import {type SnapshotChunk} from './snapshot-chunk.js';
import {type VoteReply} from './vote-reply.js';
import {type VoteRequest} from './vote-request.js';

/** Request between members, with the identifier of their group. */
export interface Envelope<T> {
	readonly groupId: string;
	readonly body: T;
}

/** Request of a leader to start an election at once, to transfer leadership to the receiver. */
export interface TransferRequest {
	readonly term: number;
	readonly from: string;
	readonly to: string;
}

/** Creates the peer methods of a group. */
export function consensusMethods(group: string) {
	return {
		vote: peerMethod<Envelope<VoteRequest>, VoteReply>(`consensus.${group}.vote`),
		append: peerMethod<Envelope<AppendRequest>, AppendReply>(`consensus.${group}.append`),
		snapshot: peerMethod<Envelope<SnapshotChunk>, AppendReply>(`consensus.${group}.snapshot`),
		transfer: peerMethod<Envelope<TransferRequest>, boolean>(`consensus.${group}.transfer`),
		hello: peerMethod<HelloRequest, HelloReply>(`consensus.${group}.hello`),
	};
}

/** Peer methods of one group. */
export type ConsensusMethods = ReturnType<typeof consensusMethods>;
