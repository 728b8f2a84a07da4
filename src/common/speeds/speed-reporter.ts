import {type Clock} from '../base/clock.js';
import {setNewest} from '../base/drop-oldest.js';
import {type FollowerSection} from '../control/follower-section.js';
import {
	nullSpeedProbe, type SpeedObserver, type SpeedProbe, type TimedAttempt,
} from '../forwarding/speed-observer.js';
import {ExpectedTimes} from './expected-times.js';
import {type ReceivedWeights} from './received-weights.js';
import {
	maxItems, minPartIntervalMs, processNumber, type SpeedItem, type SpeedReply, type SpeedReport, speedSection,
} from './speed-messages.js';

/** Observations of one process since the last report; sums of logarithms of observed / expected time. */
type Observed = {firstCount: number; firstSum: number; paceCount: number; paceSum: number};

/** Attempt that waits for its first event. */
type Waiting = {readonly process: number; readonly sentAt: number; readonly expectedMs: number};

/** Maximum number of kinds of attempts for which times are expected. */
const maxKinds = 500;
/** Maximum number of processes of which observations are kept until they are reported. */
const maxProcesses = 200;
/** Shortest time in milliseconds that is observed, for the logarithm. */
const minObservedMs = 0.1;

/** Reports from an entry host how long servers take, relative to what this host expects of similar attempts at all servers. */
export class SpeedReporter implements SpeedObserver, FollowerSection<SpeedReport, SpeedReply> {
	readonly section = speedSection;
	/** Whether attempts are observed and reported; without reports all weights are 1. */
	isActive = true;
	private readonly _firstTimes = new Map<string, ExpectedTimes>();
	private readonly _paces = new Map<string, ExpectedTimes>();
	private readonly _waiting = new Set<Waiting>();
	private _observed = new Map<number, Observed>();
	private _collectedAt = -Infinity;

	constructor(private readonly _clock: Clock, private readonly _weights: ReceivedWeights) {}

	observe({record, service, route, model, inputTokens, sentAt}: TimedAttempt): SpeedProbe {
		if (!this.isActive) {
			return nullSpeedProbe;
		}

		const process = processNumber(record.key);
		const kind = JSON.stringify([service, model ?? route]);
		const firstTimes = expectedOf(this._firstTimes, kind);
		const paces = expectedOf(this._paces, kind);
		const expectedMs = firstTimes.at(inputTokens);
		const waiting = expectedMs === undefined ? undefined : {process, sentAt, expectedMs};
		if (waiting) {
			this._waiting.add(waiting);
		}

		let isOpen = true;
		const end = () => {
			isOpen = false;
			if (waiting) {
				this._waiting.delete(waiting);
			}
		};

		return {
			recordFirstEvent: now => {
				if (isOpen) {
					end();
					if (expectedMs !== undefined) {
						this._record(process, 'first', now - sentAt, expectedMs);
					}

					firstTimes.add(inputTokens, now - sentAt, now);
				}
			},
			recordPace: msPerKib => {
				const expected = paces.at(0);
				if (expected !== undefined) {
					this._record(process, 'pace', msPerKib, expected);
				}

				paces.add(0, msPerKib, this._clock.now());
			},
			end,
		};
	}

	collect(term: number): SpeedReport | undefined {
		const now = this._clock.now();
		if (!this.isActive || now - this._collectedAt < minPartIntervalMs) {
			return undefined;
		}

		this._collectedAt = now;
		for (const {process, sentAt, expectedMs} of this._waiting) {
			if (now - sentAt > expectedMs) {
				this._record(process, 'first', now - sentAt, expectedMs);
			}
		}

		const byCount = [...this._observed].sort(([, left], [, right]) => countOf(right) - countOf(left));
		// A report that is lost is not repeated, because newer observations say more. Those that do not fit are the least certain ones.
		this._observed = new Map(byCount.slice(maxItems.report));
		return {seen: this._weights.seen(term), items: byCount.slice(0, maxItems.report).map(([process, observed]) => toItem(process, observed))};
	}

	acknowledge(term: number, _sent: SpeedReport | undefined, reply: SpeedReply | undefined): void {
		if (reply) {
			this._weights.apply(term, reply, this._clock.now());
		}
	}

	private _record(process: number, signal: 'first' | 'pace', observedMs: number, expectedMs: number): void {
		const ratio = Math.log(Math.max(minObservedMs, observedMs) / expectedMs);
		if (!Number.isFinite(ratio)) {
			return;
		}

		const observed = this._observed.get(process) ?? {
			firstCount: 0, firstSum: 0, paceCount: 0, paceSum: 0,
		};
		observed[`${signal}Count`]++;
		observed[`${signal}Sum`] += ratio;
		setNewest(this._observed, process, observed, maxProcesses);
	}
}

function countOf({firstCount, paceCount}: Observed): number {
	return firstCount + paceCount;
}

function toItem(process: number, {firstCount, firstSum, paceCount, paceSum}: Observed): SpeedItem {
	return [process, firstCount, hundredths(firstSum, firstCount), paceCount, hundredths(paceSum, paceCount)];
}

function hundredths(sum: number, count: number): number {
	return count === 0 ? 0 : Math.round(100 * sum / count);
}

/** Returns the expected times of a kind, which becomes the most recent one. */
function expectedOf(kinds: Map<string, ExpectedTimes>, kind: string): ExpectedTimes {
	const times = kinds.get(kind) ?? new ExpectedTimes();
	setNewest(kinds, kind, times, maxKinds);
	return times;
}
