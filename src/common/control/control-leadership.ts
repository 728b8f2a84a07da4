import {type Clock} from '../base/clock.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type Logger} from '../base/logger.js';
import {NotLeaderError} from '../consensus/consensus-errors.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {role} from '../consensus/role.js';
import {type BackendServer} from './backend-server.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {leaderLeaseMs} from './control-times.js';
import {type FencingSource} from './fencing-source.js';

/** Period in which this host acts as leader. */
export interface LeadershipPeriod {
	readonly term: number;
	/** Start of the period on this host's monotonic clock. */
	readonly since: number;
	/** Time on the same clock at which all leases of earlier leaders have expired. */
	readonly oldLeasesEndAt: number;
	readonly fencing: number;
}

/** Delay in milliseconds before a leader retries a failed commit of its fencing number: one heartbeat interval. */
const retryMs = 100;

/**
Decides when this voter acts as the control leader: only after it has committed a fencing number in its term, and only
while it holds the leader lease. The commit also proves that the voter has applied all earlier commits.
*/
export class ControlLeadership implements FencingSource, Disposable {
	private _period: LeadershipPeriod | undefined;
	private _retry: Disposable | undefined;
	private readonly _store = new DisposableStore();
	private readonly _onStart = this._store.add(new Emitter<LeadershipPeriod>());
	private readonly _onEnd = this._store.add(new Emitter<void>());

	constructor(
		private readonly _self: string,
		private readonly _log: ReplicatedLog<ControlCommand, ControlResult>,
		private readonly _clock: Clock,
		private readonly _logger: Logger,
	) {
		this._store.add(_log.onRoleChange(() => {
			this._update();
		}));
		this._update();
	}

	/** Raised when this host starts to act as leader. */
	get onStart(): Event<LeadershipPeriod> {
		return this._onStart.event;
	}

	/** Raised when this host has lost the role. */
	get onEnd(): Event<void> {
		return this._onEnd.event;
	}

	/** The current period; undefined while this host must not act as leader. */
	get period(): LeadershipPeriod | undefined {
		const period = this._period;
		return period && this._isLeaderIn(period.term) && this._log.hasLease() ? period : undefined;
	}

	/** The current period. @throws NotLeaderError while this host must not act as leader. */
	requirePeriod(): LeadershipPeriod {
		const {period} = this;
		if (!period) {
			// Without the leader lease, this host must not name itself as leader: another host may already lead.
			const isStarting = this._log.role === role.leader && this._log.hasLease();
			throw new NotLeaderError(this._log.leader !== this._self || isStarting ? this._log.leader : undefined);
		}

		return period;
	}

	fencingFor(server: Pick<BackendServer, 'checksFencing'>): number | undefined {
		const {period} = this;
		return period && (server.checksFencing || this._clock.now() >= period.oldLeasesEndAt) ? period.fencing : undefined;
	}

	dispose(): void {
		this._retry?.dispose();
		this._store.dispose();
	}

	private _update(): void {
		if (this._period && !this._isLeaderIn(this._period.term)) {
			this._period = undefined;
			this._onEnd.fire();
		}

		this._retry?.dispose();
		if (!this._period && this._log.role === role.leader) {
			void this._commitFencing(this._log.term);
		}
	}

	private async _commitFencing(term: number): Promise<void> {
		try {
			const result = await this._log.propose({type: 'next-fencing', leader: this._self});
			if (result.status === 'accepted' && this._isLeaderIn(term) && !this._store.isDisposed) {
				this._startPeriod(term, result.revision);
			}
		} catch (error) {
			this._logger.warn({term, err: error}, 'could not commit a fencing number');
			// Usually the role was lost, and the next role change starts a new attempt. A host that still leads must retry, or it would stay idle.
			if (this._isLeaderIn(term)) {
				this._retry = this._clock.setTimer(retryMs, () => {
					this._update();
				});
			}
		}
	}

	private _startPeriod(term: number, fencing: number): void {
		const since = this._clock.now();
		this._period = {
			term, since, oldLeasesEndAt: since + leaderLeaseMs, fencing,
		};
		this._logger.info({term, fencing}, 'leads the control log');
		this._onStart.fire(this._period);
	}

	private _isLeaderIn(term: number): boolean {
		return this._log.role === role.leader && this._log.term === term;
	}
}
