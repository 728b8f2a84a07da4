import {type AppError} from '../base/app-error.js';
import {type Clock} from '../base/clock.js';
import {AdmissionAbortedError} from './admission-aborted-error.js';
import {type AdmissionController, type AdmissionRequest, type AdmissionTicket} from './admission-controller.js';
import {type ConcurrencyLimit} from './concurrency-limit.js';
import {type CustomerLimits} from './customer-limits.js';
import {DrainRate} from './drain-rate.js';
import {FairQueue, type QueueItem} from './fair-queue.js';
import {limitKey} from './limit-key.js';
import {OverloadedError} from './overloaded-error.js';

/** Options of a `FairAdmission`. */
export interface FairAdmissionOptions {
	/** Maximum number of queued requests. */
	readonly maxQueued?: number;
	/** Fraction of the concurrency limit that urgent requests may use in addition, so that they need not wait for a release. */
	readonly urgentHeadroom?: number;
	/** Tokens by which a customer may exceed its fair share and still be served by urgency. */
	readonly burstTokens?: number;
	/** Tokens of unused share that a customer may use later. */
	readonly creditTokens?: number;
	/** Factor on the expected wait, because later requests of higher urgency are served first. */
	readonly waitMargin?: number;
}

type WaitingRequest = QueueItem & {admit: () => void; refuse: (reason: AppError) => void};

/** Tokens added to the cost of each request, so that small requests are not almost free. */
const requestCost = 100;
/** Bounds of the `retryAfterSeconds` of a refusal. */
const minRetrySeconds = 1;
const maxRetrySeconds = 60;
/** The `retryAfterSeconds` of a refusal while the drain rate is unknown. */
const defaultRetrySeconds = 2;

/** Admission by urgency inside weighted fair shares, with bounded queues, customer limits and an adaptive concurrency limit. */
export class FairAdmission implements AdmissionController {
	private readonly _queue: FairQueue<WaitingRequest>;
	private readonly _drainRate = new DrainRate();
	private readonly _maxQueued: number;
	private readonly _urgentHeadroom: number;
	private readonly _waitMargin: number;
	private _inFlight = 0;

	constructor(private readonly _clock: Clock, private readonly _limit: ConcurrencyLimit, private readonly _customers?: CustomerLimits, options: FairAdmissionOptions = {}) {
		this._queue = new FairQueue(options.burstTokens, options.creditTokens);
		this._maxQueued = options.maxQueued ?? 1000;
		this._waitMargin = options.waitMargin ?? 1.3;
		this._urgentHeadroom = options.urgentHeadroom ?? 0.1;
	}

	/** Number of queued requests. */
	get queued(): number {
		return this._queue.size;
	}

	/** Number of running requests. */
	get inFlight(): number {
		return this._inFlight;
	}

	async acquire(req: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionTicket> {
		if (signal?.aborted) {
			throw new AdmissionAbortedError('the caller cancelled the request before it was admitted', {cause: signal.reason});
		}

		const key = limitKey(req.service, req.customer);
		const limitWaitMs = this._customers?.take(key, req.tokens) ?? 0;
		if (limitWaitMs > 0) {
			throw new OverloadedError('limit-exceeded', `${req.customer} is above its limit for ${req.service}`, clampRetrySeconds(limitWaitMs / 1000));
		}

		const flow = {
			flow: key, weight: req.weight, urgency: req.urgency, cost: requestCost + req.tokens,
		};
		try {
			await this._wait(flow, req.deadlineAt, signal);
		} catch (error) {
			this._customers?.refund(key, req.tokens);
			throw error;
		}

		return this._ticket(flow, key, req.tokens);
	}

	/** Admits queued requests up to the limit; to be called when the limit may have increased. */
	admitWaiting(): void {
		while (this._queue.size > 0) {
			const limit = this._limit.current;
			const item = this._inFlight < limit
				? this._queue.shift(this._clock.now())
				: (this._inFlight < limit * (1 + this._urgentHeadroom) ? this._queue.shift(this._clock.now(), 'urgent') : undefined);
			if (!item) {
				break;
			}

			this._inFlight++;
			item.admit();
		}

		if (this._queue.size > 0) {
			this._limit.recordSaturation();
		}

		this._drainRate.setBusy(this._queue.size > 0, this._clock.now());
	}

	private async _wait(flow: QueueItem, deadlineAt: number, signal: AbortSignal | undefined): Promise<void> {
		const now = this._clock.now();
		if (now >= deadlineAt || (this._inFlight >= this._limit.current && now + this._expectedWaitMs(flow) > deadlineAt)) {
			throw this._deadlineUnreachable();
		}

		return new Promise((resolve, reject) => {
			const item: WaitingRequest = {
				...flow,
				admit() {
					stop();
					resolve();
				},
				refuse: reason => {
					stop();
					this._queue.remove(item, this._clock.now());
					this._drainRate.setBusy(this._queue.size > 0, this._clock.now());
					reject(reason);
				},
			};
			const abort = () => {
				item.refuse(new AdmissionAbortedError('the caller cancelled the request while it was queued', {cause: signal!.reason}));
			};

			const timer = this._clock.setTimer(deadlineAt - now, () => {
				item.refuse(this._deadlineUnreachable());
			});
			const stop = () => {
				timer.dispose();
				signal?.removeEventListener('abort', abort);
			};

			signal?.addEventListener('abort', abort, {once: true});
			this._queue.add(item, now);
			this.admitWaiting();
			this._shedExcess();
		});
	}

	private _shedExcess(): void {
		while (this._queue.size > this._maxQueued) {
			this._queue.shedCandidate()!.refuse(new OverloadedError('overloaded', 'the queue is full', this._retrySeconds()));
		}
	}

	private _deadlineUnreachable(): OverloadedError {
		return new OverloadedError('deadline-unreachable', 'the request cannot start before its deadline', this._retrySeconds());
	}

	private _expectedWaitMs(item: QueueItem): number {
		const rate = this._drainRate.tokensPerSecond;
		return this._waitMargin * Math.max(this._queue.urgencyWaitMs(item), rate === undefined ? 0 : 1000 * this._queue.costAhead(item) / rate);
	}

	/** Expected time in seconds until the current queue has drained. */
	private _retrySeconds(): number {
		const rate = this._drainRate.tokensPerSecond;
		return rate === undefined ? defaultRetrySeconds : clampRetrySeconds(this._queue.cost / rate);
	}

	private _ticket(flow: QueueItem, key: string, expectedTokens: number): AdmissionTicket {
		let isReleased = false;
		return {
			release: tokens => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				this._inFlight--;
				this._drainRate.recordFinished(requestCost + tokens, this._clock.now());
				this._queue.charge(flow, tokens - expectedTokens);
				this._customers?.settle(key, tokens - expectedTokens);
				this.admitWaiting();
			},
		};
	}
}

function clampRetrySeconds(seconds: number): number {
	return Math.ceil(Math.min(maxRetrySeconds, Math.max(minRetrySeconds, seconds)));
}
