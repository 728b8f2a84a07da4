import {type PeerTransport} from '../base/peer-transport.js';
import {type AppendReply} from './append-reply.js';
import {type ConsensusMethods} from './consensus-methods.js';
import {type LogStorage} from './log-storage.js';
import {type MemberDriver} from './member-driver.js';
import {type OutgoingRequest} from './outgoing-request.js';

/** Size of a part in characters. Bounds the time for which a message blocks the receiver. */
const partSize = 256 * 1024;

/** Timeout of a part in milliseconds. The last part is answered only after the whole snapshot is synced. */
const partTimeoutMs = 10_000;

type SnapshotCall = Extract<OutgoingRequest, {kind: 'snapshot'}>;

/** Sends the latest snapshot to members whose next entries were compacted. */
export class SnapshotSender {
	constructor(
		private readonly _driver: MemberDriver,
		private readonly _transport: PeerTransport,
		private readonly _storage: LogStorage,
		private readonly _method: ConsensusMethods['snapshot'],
	) {}

	async send(call: SnapshotCall): Promise<void> {
		let index: number | undefined;
		try {
			index = await this._transfer(call);
		} catch {
			// The core restarts replication with a probe.
		}

		this._driver.input((core, now) => {
			core.finishSnapshot(call, index, now);
		});
	}

	/** @returns the index up to which the receiver has confirmed synced entries; undefined if it refused or there is no snapshot. */
	private async _transfer({to, term}: SnapshotCall): Promise<number | undefined> {
		const snapshot = await this._storage.readSnapshot();
		if (!snapshot) {
			return undefined;
		}

		const {state, ...head} = snapshot;
		let reply: AppendReply | undefined;
		for (let offset = 0; offset === 0 || (offset < state.length && reply?.isAccepted); offset += partSize) {
			const body = {
				term, from: this._driver.self, to: to.id, head, offset, part: state.slice(offset, offset + partSize), isLast: offset + partSize >= state.length,
			};
			// eslint-disable-next-line no-await-in-loop -- one part at a time bounds the load on the receiver
			reply = await this._transport.call(to.host, this._method, {groupId: this._driver.groupId!, body}, partTimeoutMs);
		}

		return reply?.isAccepted ? reply.matchIndex : undefined;
	}
}
