import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {NotLeaderError} from '../consensus/consensus-errors.js';
import {CloseWaiters} from './close-waiters.js';
import {IncarnationFencer, type FencerServices} from './incarnation-fencer.js';
import {decodeBatch} from './ledger-codec.js';
import {type EncodedBatch} from './ledger-command.js';
import {answerQuery} from './ledger-query.js';
import {LedgerTime} from './ledger-time.js';
import {
	ledgerMethods, type LedgerQuery, type LedgerQueryResult, type LedgerWait, type LedgerWaitResult,
} from './ledger-methods.js';
import {type LedgerReply} from './ledger-reply.js';

/** Dependencies of a `LedgerService`. */
export interface LedgerServices extends FencerServices {
	readonly transport: PeerTransport;
	/** Number of the group, starting at 0. */
	readonly group: number;
}

/** Maximum wait for a close in one call, in milliseconds. */
const maxWaitMs = 20_000;

/** Serves one ledger group at a voter. Only the leader answers; the other voters return the name of the leader. */
export class LedgerService implements Disposable {
	private readonly _store = new DisposableStore();
	private readonly _waiters: CloseWaiters;
	private readonly _time: LedgerTime;

	constructor(private readonly _services: LedgerServices) {
		const {transport, group, state, clock, log} = _services;
		const methods = ledgerMethods(group);
		this._waiters = this._store.add(new CloseWaiters(clock));
		this._time = new LedgerTime(clock, state);
		// Must be registered before the fencer, which stamps commands as soon as the role changes.
		this._store.add(log.onRoleChange(() => {
			this._time.startTerm();
		}));
		this._store.add(new IncarnationFencer(_services, this._time));
		this._store.add(state.onClosed(bill => {
			this._waiters.notify(bill.requestId);
		}));
		// A deposed leader may not apply the close, so waiting callers are released and ask the new leader.
		this._store.add(log.onRoleChange(() => {
			this._waiters.dispose();
		}));
		this._store.add(transport.handle(methods.append, async batch => this._append(batch)));
		this._store.add(transport.handle(methods.query, async query => this._query(query)));
		this._store.add(transport.handle(methods.wait, async wait => this._wait(wait)));
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _append(batch: EncodedBatch): Promise<LedgerReply> {
		const {log, counters} = this._services;
		try {
			decodeBatch(batch);
		} catch {
			// The state machine would refuse the batch as well, so it is not proposed to the log.
			return {refused: 'malformed'};
		}

		const reply = await log.propose(['batch', this._time.stamp(), batch]);
		counters.increment('ledger.records', batch[3].length);
		if ('refused' in reply) {
			counters.increment('ledger.refused_batches', 1, {reason: reply.refused});
		}

		return reply;
	}

	private async _query(query: LedgerQuery): Promise<LedgerQueryResult> {
		this._checkLease();
		return answerQuery(this._services.state, query);
	}

	private async _wait({customer, key, requestId, timeoutMs}: LedgerWait): Promise<LedgerWaitResult> {
		this._checkLease();
		if (this._services.state.open.has(requestId)) {
			await this._waiters.wait(requestId, Math.min(timeoutMs, maxWaitMs));
			this._checkLease();
		}

		const {state} = this._services;
		const owner = state.keys.get(customer, key);
		if (owner?.requestId !== requestId) {
			return {status: 'released'};
		}

		return owner.bill ? {status: 'closed', bill: {...owner.bill, answer: owner.answer}} : {status: 'running'};
	}

	/** Throws without a leader lease, because the state of a member that is not the leader may be stale. */
	private _checkLease(): void {
		const {log} = this._services;
		if (!log.hasLease()) {
			throw new NotLeaderError(log.leader);
		}
	}
}
