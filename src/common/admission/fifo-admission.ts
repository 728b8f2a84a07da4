import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {AdmissionAbortedError} from './admission-aborted-error.js';
import {type AdmissionController, type AdmissionRequest, type AdmissionTicket} from './admission-controller.js';
import {type ConcurrencyLimit} from './concurrency-limit.js';
import {OverloadedError} from './overloaded-error.js';

type WaitingRequest = {admit: () => void; timer: Disposable | undefined};

/** The `retryAfterSeconds` of refusals; this baseline does not measure a drain rate. */
const retrySeconds = 5;

/** Baseline for comparison: first come, first served, with a bounded queue that refuses new requests when full. */
export class FifoAdmission implements AdmissionController {
	private readonly _waiting = new Set<WaitingRequest>();
	private _inFlight = 0;

	constructor(private readonly _clock: Clock, private readonly _limit: ConcurrencyLimit, private readonly _maxQueued = 1000) {}

	async acquire(req: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionTicket> {
		if (this._inFlight < this._limit.current && this._waiting.size === 0) {
			this._inFlight++;
		} else {
			await this._wait(req.deadlineAt, signal);
		}

		let isReleased = false;
		return {
			release: () => {
				if (!isReleased) {
					isReleased = true;
					this._inFlight--;
					this._admitWaiting();
				}
			},
		};
	}

	private async _wait(deadlineAt: number, signal: AbortSignal | undefined): Promise<void> {
		if (this._waiting.size >= this._maxQueued) {
			throw new OverloadedError('overloaded', 'the queue is full', retrySeconds);
		}

		return new Promise((resolve, reject) => {
			const item: WaitingRequest = {admit: resolve, timer: undefined};
			item.timer = this._clock.setTimer(deadlineAt - this._clock.now(), () => {
				this._waiting.delete(item);
				reject(new OverloadedError('deadline-unreachable', 'the deadline passed while the request waited', retrySeconds));
			});
			signal?.addEventListener('abort', () => {
				if (this._waiting.delete(item)) {
					item.timer?.dispose();
					reject(new AdmissionAbortedError('the caller cancelled the request while it was queued', {cause: signal.reason}));
				}
			}, {once: true});
			this._waiting.add(item);
			this._admitWaiting();
		});
	}

	private _admitWaiting(): void {
		for (const item of this._waiting) {
			if (this._inFlight >= this._limit.current) {
				this._limit.recordSaturation();
				return;
			}

			this._waiting.delete(item);
			item.timer?.dispose();
			this._inFlight++;
			item.admit();
		}
	}
}
