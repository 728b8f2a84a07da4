import {type Clock} from '../base/clock.js';
import {type Logger} from '../base/logger.js';
import {type HeartbeatReport} from './control-methods.js';

/** Time in milliseconds after which a heartbeat that the leader has not learnt of keeps this host from acknowledging others. */
const maxUnreportedMs = 5000;

/** Passes the heartbeats that this host receives while another one leads on to the leader. A report that fails is repeated. */
export class HeartbeatReports {
	/** Times of the last heartbeats that are not reported yet. */
	private _unreported = new Map<string, number>();
	private _unreportedSince: number | undefined;
	private _isReporting = false;
	private _hasFailed = false;

	constructor(private readonly _clock: Clock, private readonly _logger: Logger, private readonly _report: (report: HeartbeatReport) => Promise<unknown>) {}

	/** Whether the leader learns of heartbeats soon enough, so that this host may acknowledge them. */
	get isDelivering(): boolean {
		return this._unreportedSince === undefined || this._clock.now() - this._unreportedSince < maxUnreportedMs;
	}

	record(key: string): void {
		const now = this._clock.now();
		this._unreportedSince ??= now;
		this._unreported.set(key, now);
	}

	/** Discards the heartbeats, because this host leads and counts them itself. */
	clear(): void {
		this._unreported = new Map();
		this._unreportedSince = undefined;
	}

	/** Reports the heartbeats since the last report, unless a report is in flight. */
	async send(): Promise<void> {
		if (this._isReporting || this._unreported.size === 0) {
			return;
		}

		const batch = this._unreported;
		const since = this._unreportedSince;
		this.clear();
		this._isReporting = true;
		try {
			const now = this._clock.now();
			await this._report({heartbeats: [...batch].map(([key, at]) => ({key, ageMs: now - at}))});
			this._hasFailed = false;
		} catch (error) {
			this._unreported = new Map([...batch, ...this._unreported]);
			this._unreportedSince = since;
			if (!this._hasFailed) {
				this._hasFailed = true;
				this._logger.warn({servers: batch.size, err: error}, 'heartbeats could not be reported to the leader');
			}
		} finally {
			this._isReporting = false;
		}
	}
}
