import {type Clock} from '../base/clock.js';
import {RateMeter} from './rate-meter.js';

/** Maximum number of attempts tracked while their rating is pending; the oldest are evicted first. */
const maxPending = 5000;
/** Window of the measured rates in milliseconds. */
const windowMs = 60_000;
/** Relative step by which each rating moves the running median of the rating delay. */
const medianStep = 0.03;
/** The rating service counts as congested when the median delay exceeds this multiple of the minimum median. */
const congestedFactor = 1.8;
/** Relative rise of the minimum median at each rating, so that a permanently slower rating service no longer counts as congested after a few thousand ratings. */
const minMedianRise = 0.0002;
/** Interval in milliseconds between changes of the allowed rate, and the factors of a change; at a rate below the measured throughput the queue drains. */
const rateChange = {intervalMs: 15_000, down: 0.85, up: 1.03} as const;
/** Minimum probability; with a lower one, the weights of single ratings would dominate the estimates. */
const minProbability = 0.02;

/** Samples answers for rating at a rate that the rating service can sustain. Rising rating delays indicate congestion; the rate is then limited to the measured throughput. */
export class RatingSampler {
	private readonly _pending = new Map<string, number>();
	private readonly _desiredRate: RateMeter;
	private readonly _ratingRate: RateMeter;
	/** Ratings allowed per second; unlimited until the first congestion. */
	private _allowedPerSecond = Infinity;
	private _medianDelayMs: number | undefined;
	private _minMedianDelayMs = Infinity;
	private _changedAt = -Infinity;

	constructor(private readonly _clock: Clock) {
		this._desiredRate = new RateMeter(_clock, windowMs);
		this._ratingRate = new RateMeter(_clock, windowMs);
	}

	/** Number of pending ratings. Lost ones are included until they are evicted. */
	get pending(): number {
		return this._pending.size;
	}

	/** Probability of rating an answer: the desired one, reduced to the allowed rate. */
	probability(desired: number): number {
		this._desiredRate.add(desired);
		return Math.min(desired, Math.max(minProbability, desired * this._allowedPerSecond / Math.max(1e-6, this._desiredRate.perSecond())));
	}

	/** Records that an answer was sent to the rating service. */
	recordSent(attemptId: string): void {
		this._pending.set(attemptId, this._clock.now());
		if (this._pending.size > maxPending) {
			this._pending.delete(this._pending.keys().next().value!);
		}
	}

	/** Records that a rating arrived. */
	recordRating(attemptId: string): void {
		const at = this._pending.get(attemptId);
		if (at === undefined) {
			return;
		}

		this._pending.delete(attemptId);
		this._ratingRate.add(1);
		const delay = Math.max(1, this._clock.now() - at);
		// A running median ignores the few ratings that arrive very late.
		this._medianDelayMs = this._medianDelayMs === undefined ? delay : this._medianDelayMs * (1 + (delay > this._medianDelayMs ? medianStep : -medianStep));
		this._minMedianDelayMs = Math.min(this._minMedianDelayMs * (1 + minMedianRise), this._medianDelayMs);
		if (this._clock.now() - this._changedAt >= rateChange.intervalMs) {
			this._changedAt = this._clock.now();
			this._adjustRate(this._medianDelayMs > congestedFactor * this._minMedianDelayMs);
		}
	}

	private _adjustRate(isCongested: boolean): void {
		const throughput = this._ratingRate.perSecond();
		this._allowedPerSecond = isCongested
			? Math.max(throughput * rateChange.down, Math.min(this._allowedPerSecond * rateChange.down, throughput))
			: Math.min(this._allowedPerSecond * rateChange.up, Math.max(1, 10 * this._desiredRate.perSecond()));
	}
}
