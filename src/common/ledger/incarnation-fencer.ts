import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {role} from '../consensus/role.js';
import {type EntryDirectory, type EntryIncarnation} from './entry-directory.js';
import {type LedgerCommand} from './ledger-command.js';
import {type LedgerReply} from './ledger-reply.js';
import {type LedgerState} from './ledger-state.js';
import {type LedgerTime} from './ledger-time.js';

/** Interval in milliseconds at which the ledger is compared with the directory. */
const sweepIntervalMs = 2000;
/**
Time in milliseconds for which an incarnation must be absent from a current directory before it is fenced. A current
directory is at most one lease (4 s) behind.
*/
const absenceTimeoutMs = 10_000;

/** Dependencies of an `IncarnationFencer`. */
export interface FencerServices {
	readonly log: ReplicatedLog<LedgerCommand, LedgerReply>;
	readonly state: LedgerState;
	readonly directory: EntryDirectory;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logger: Logger;
}

/**
Fences expired or superseded incarnations of entry hosts, at the leader of a ledger group. A periodic sweep finds those
that were removed from the directory while there was no leader, and repeats a fence whose outcome is unknown.
*/
export class IncarnationFencer implements Disposable {
	private readonly _store = new DisposableStore();
	private readonly _absentSince = new Map<string, number>();
	private readonly _active = new Set<string>();
	private _timer: Disposable | undefined;

	constructor(private readonly _services: FencerServices, private readonly _time: LedgerTime) {
		const {log, directory} = _services;
		this._store.add(directory.onRemoved(incarnation => {
			void this._fence(incarnation);
		}));
		this._store.add(log.onRoleChange(() => {
			this._absentSince.clear();
			this._sweep();
		}));
		this._schedule();
	}

	dispose(): void {
		this._timer?.dispose();
		this._store.dispose();
	}

	private _schedule(): void {
		this._timer = this._services.clock.setTimer(sweepIntervalMs, () => {
			this._schedule();
			this._sweep();
		});
	}

	private _sweep(): void {
		const {log, state, directory} = this._services;
		if (log.role !== role.leader) {
			return;
		}

		const live = new Set<string>();
		for (const {entry, incarnation} of state.incarnations.live()) {
			live.add(idOf({entry, incarnation}));
			const status = directory.status({entry, incarnation});
			if (status === 'removed' || (status === 'absent' && this._hasAbsenceTimedOut(entry, incarnation))) {
				void this._fence({entry, incarnation});
			} else if (status === 'live') {
				this._absentSince.delete(idOf({entry, incarnation}));
			}
		}

		for (const id of this._absentSince.keys()) {
			if (!live.has(id)) {
				this._absentSince.delete(id);
			}
		}
	}

	private _hasAbsenceTimedOut(entry: string, incarnation: number): boolean {
		const {directory, clock} = this._services;
		const id = idOf({entry, incarnation});
		if (!directory.isCurrent()) {
			this._absentSince.delete(id);
			return false;
		}

		const since = this._absentSince.get(id) ?? clock.now();
		this._absentSince.set(id, since);
		return clock.now() - since >= absenceTimeoutMs;
	}

	private async _fence(target: EntryIncarnation): Promise<void> {
		const {log, counters, logger} = this._services;
		const id = idOf(target);
		if (log.role !== role.leader || this._active.has(id)) {
			return;
		}

		this._active.add(id);
		try {
			const reply = await log.propose(['fence', this._time.stamp(), target.entry, target.incarnation]);
			const settled = 'fenced' in reply ? reply.fenced : 0;
			this._absentSince.delete(id);
			counters.increment('ledger.fences');
			logger.info({...target, settled}, 'entry host fenced');
		} catch (error) {
			// The next sweep, here or at a new leader, repeats the fence. Fencing is idempotent.
			counters.increment('ledger.fence_retries');
			logger.warn({...target, err: error}, 'fence not confirmed');
		} finally {
			this._active.delete(id);
		}
	}
}

function idOf({entry, incarnation}: EntryIncarnation): string {
	return `${entry}/${incarnation}`;
}
