import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type AppendReply} from './append-reply.js';
import {WrongMemberError} from './consensus-errors.js';
import {type ConsensusMethods, type Envelope} from './consensus-methods.js';
import {type MemberDriver} from './member-driver.js';
import {SnapshotReceiver} from './snapshot-receiver.js';
import {type SnapshotChunk} from './snapshot-chunk.js';

/** Handles requests from other members. */
export class PeerHandlers implements Disposable {
	private readonly _handlers = new DisposableStore();
	private readonly _snapshots = new SnapshotReceiver();

	constructor(private readonly _driver: MemberDriver, transport: PeerTransport, methods: ConsensusMethods) {
		this._handlers.add(transport.handle(methods.vote, async envelope => this._input(envelope, (core, now, respond) => {
			core.receiveVote(envelope.body, now, respond);
		})));
		this._handlers.add(transport.handle(methods.append, async envelope => {
			this._adoptGroup(envelope);
			return this._input(envelope, (core, now, respond) => {
				core.receiveAppend(envelope.body, now, respond);
			});
		}));
		this._handlers.add(transport.handle(methods.transfer, async envelope => this._input(envelope, (core, now, respond) => {
			core.receiveTransfer(envelope.body.term, now);
			respond(true);
		})));
		this._handlers.add(transport.handle(methods.snapshot, async envelope => this._receiveChunk(envelope)));
	}

	dispose(): void {
		this._handlers.dispose();
	}

	private async _receiveChunk(envelope: Envelope<SnapshotChunk>): Promise<AppendReply> {
		this._adoptGroup(envelope);
		const chunk = envelope.body;
		this._check(envelope);
		const snapshot = this._snapshots.add(chunk);
		if (typeof snapshot === 'string') {
			return {
				term: chunk.term, isAccepted: snapshot === 'pending', matchIndex: 0, nextIndex: 0,
			};
		}

		return this._input(envelope, (core, now, respond) => {
			core.receiveSnapshot({term: chunk.term, from: chunk.from, snapshot}, now, respond);
		});
	}

	private async _input<Reply>(envelope: Envelope<{to: string}>, change: (core: MemberDriver['core'], now: number, respond: (reply: Reply) => void) => void): Promise<Reply> {
		this._check(envelope);
		return new Promise(resolve => {
			this._driver.input((core, now) => {
				change(core, now, resolve);
			});
		});
	}

	/** Sets the group of a new member from the first request that the leader addresses to its identity. */
	private _adoptGroup({groupId, body}: Envelope<{to: string}>): void {
		if (body.to === this._driver.self) {
			this._driver.groupId ??= groupId;
		}
	}

	private _check({groupId, body}: Envelope<{to: string}>): void {
		if (body.to !== this._driver.self) {
			throw new WrongMemberError(`${body.to} no longer exists on this host; its member is ${this._driver.self}`);
		}

		if (groupId !== this._driver.groupId) {
			throw new WrongMemberError(`the message belongs to group ${groupId}, this member to ${this._driver.groupId ?? 'none'}`);
		}
	}
}
