import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type LeaseTable} from './lease-table.js';
import {type RoutingRecord} from './routing-record.js';

/** Maximum number of lagging hosts that a line names. */
const maxLoggedHosts = 5;

/** Reports when each entry host has applied the newest routing configuration, or holds no lease under an earlier one. */
export class RoutingSpread {
	private _current: {readonly version: number; readonly revision: number; readonly since: number} | undefined;

	constructor(private readonly _leases: LeaseTable, private readonly _counters: Counters, private readonly _logger: Logger) {}

	/** Begins with a new configuration. One that had not reached all hosts is reported as overtaken. */
	start({version, revision}: RoutingRecord, now: number): void {
		this._report(now, 'routing configuration overtaken before it was in force');
		this._current = {version, revision, since: now};
	}

	/** Ends without a report; called when this host no longer leads. */
	stop(): void {
		this._current = undefined;
	}

	/** Checks after a renewal whether the configuration is in force now. */
	check(now: number): void {
		if (this._current && this._leases.behind(this._current.revision, now).length === 0) {
			this._report(now, 'routing configuration in force');
			this._current = undefined;
		}
	}

	private _report(now: number, message: string): void {
		if (this._current) {
			const {version, revision, since} = this._current;
			const behind = this._leases.behind(revision, now);
			const ms = Math.round(now - since);
			this._counters.timing('control.routing-spread', ms);
			this._logger.info({
				version, revision, ms, behind: behind.length, hosts: behind.slice(0, maxLoggedHosts).map(({host}) => host),
			}, message);
		}
	}
}
