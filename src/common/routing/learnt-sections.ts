import {type Clock} from '../base/clock.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {renewalSection} from '../control/renewal-section.js';
import {EstimateTotals, type LearntReport, type LearntState} from './estimate-totals.js';

/** Section of the renewal that exchanges the learnt state of the cascade policies through the leader. */
export const learntSection = renewalSection<LearntReport, LearntState>('learnt');

/** Interval in milliseconds between reports: a report has tens of kilobytes, and the budget of all control traffic is 11 KB/s. */
const reportIntervalMs = 60_000;
/** Significant digits of sums in a report; the uncertainty of estimates is above 0.1 %. */
const digits = 4;

/** Policy whose learnt state is exchanged. */
export interface LearningPolicy {
	exportEstimates(): LearntState;
	importEstimates(state: LearntState): void;
}

/** Daemon side: reports the learnt state of this host and imports that of the other hosts. */
export class LearntReporter implements FollowerSection<LearntReport, LearntState> {
	readonly section = learntSection;
	private _sequence = 0;
	private _dueAt = 0;
	private _term: number | undefined;

	constructor(private readonly _policy: LearningPolicy, private readonly _clock: Clock, private readonly _identity: {readonly host: string; readonly incarnation: number}) {}

	collect(term: number): LearntReport | undefined {
		// A new leader starts without reports, so it gets one immediately.
		if (this._clock.now() < this._dueAt && term === this._term) {
			return undefined;
		}

		return roundSums({...this._identity, sequence: ++this._sequence, ...this._policy.exportEstimates()});
	}

	acknowledge(term: number, sent: LearntReport | undefined, reply: LearntState | undefined): void {
		if (sent) {
			this._term = term;
			this._dueAt = this._clock.now() + reportIntervalMs;
		}

		if (reply) {
			this._policy.importEstimates(reply);
		}
	}
}

/** Leader side: merges the reports and replies to each with the learnt state of the other hosts. */
export class LearntExchange implements LeaderSection<LearntReport, LearntState> {
	readonly section = learntSection;
	/** Hosts that reported since their last call of `reply`. */
	private readonly _awaitingReply = new Set<string>();
	private _totals: EstimateTotals;
	private _completeAt = 0;

	constructor(private readonly _clock: Clock, private readonly _halfLifeMs: number) {
		this._totals = new EstimateTotals(_halfLifeMs);
	}

	reset(): void {
		this._totals = new EstimateTotals(this._halfLifeMs);
		// A reply replaces the state that a host imported before, so there is none until every host had time to report.
		this._completeAt = this._clock.now() + (reportIntervalMs / 2);
	}

	receive({host}: RenewalSender, report: LearntReport): void {
		this._totals.add(report);
		this._awaitingReply.add(host);
	}

	reply({host, incarnation}: RenewalSender): LearntState | undefined {
		const isAwaitingReply = this._awaitingReply.delete(host);
		return isAwaitingReply && this._clock.now() >= this._completeAt ? roundSums(this._totals.totalExcluding(host, incarnation)) : undefined;
	}
}

/** Copy with fractional numbers rounded; integers such as times are unchanged. */
function roundSums<Value>(value: Value): Value {
	return JSON.parse(JSON.stringify(value, (_, part: unknown) => typeof part === 'number' && !Number.isInteger(part) ? Number(part.toPrecision(digits)) : part)) as Value;
}
