import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type ControlCommand} from './control-command.js';
import {type ControlLeadership} from './control-leadership.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {leaderLeaseMs} from './control-times.js';
import {type EntryHost} from './entry-host.js';
import {type LeaseTable} from './lease-table.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** Dependencies of `EntryExpirer`. */
export interface EntryExpirerOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly leadership: ControlLeadership;
	readonly leases: LeaseTable;
}

const sweepIntervalMs = 250;

/** Expires entry hosts through the control log when their lease has expired and they no longer renew. */
export class EntryExpirer implements Disposable {
	private readonly _sweep: PeriodicSweep;
	private readonly _pending = new Set<string>();

	constructor(private readonly _options: EntryExpirerOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, stalledAt => {
			this._expire(stalledAt);
		});
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _expire(stalledAt: number): void {
		const {leadership, leases, state, clock} = this._options;
		const {period} = leadership;
		if (!period) {
			return;
		}

		const now = clock.now();
		leases.prune(now, leaderLeaseMs);
		const since = Math.max(period.since, stalledAt);
		for (const entry of state.entryHosts.values()) {
			// A host that renews without getting a lease is alive.
			const silentSince = Math.max(since, leases.lastRenewalAt(entry) ?? since);
			if (silentSince + leaderLeaseMs <= now && (leases.leaseEnd(entry) ?? now) <= now && !this._pending.has(entry.host)) {
				void this._propose(entry);
			}
		}
	}

	private async _propose({host, incarnation}: EntryHost): Promise<void> {
		const {log, logger, clock} = this._options;
		this._pending.add(host);
		try {
			await log.propose({
				type: 'entry-expired', host, incarnation, at: clock.wallTime(),
			});
			logger.warn({host, incarnation}, 'entry host expired');
		} catch (error) {
			logger.warn({host, incarnation, err: error}, 'entry host could not be expired');
		} finally {
			this._pending.delete(host);
		}
	}
}
