import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {sleep} from '../base/sleep.js';
import {defaultUnratedCapSettings} from '../evidence/unrated-cap.js';
import {type RatingClient, type RatingRequest} from '../routing/rating-client.js';

/** Delay in milliseconds before the first retry; doubled at each further one up to the maximum. */
const firstRetryMs = 1000;
const maxRetryMs = 30_000;
/** Maximum number of answers that wait for a retry; further failed ratings are given up at once. */
const maxWaiting = 256;

/**
Rates answers that were already delivered. A failed rating is requested again: otherwise the answers that a new version gave
during an outage of the rating service would stay unrated, and the cap on unrated answers would stop its roll-out.
*/
export class BackgroundRatings implements Disposable {
	private readonly _abort = new AbortController();
	private _waiting = 0;

	constructor(private readonly _client: RatingClient, private readonly _clock: Clock, private readonly _counters: Counters) {}

	/** Rating in [0, 1]; undefined when it was given up. */
	async rate(req: RatingRequest): Promise<number | undefined> {
		const {signal} = this._abort;
		// Afterwards the answer no longer counts towards the cap.
		const endsAt = this._clock.now() + defaultUnratedCapSettings.ratingTimeoutMs;
		for (let delayMs = firstRetryMs; ; delayMs = Math.min(maxRetryMs, delayMs * 2)) {
			try {
				return await this._client.rate(req, signal); // eslint-disable-line no-await-in-loop -- one try at a time
			} catch {
				this._counters.increment('entry.rating.failed', 1, {service: req.service});
			}

			if (signal.aborted || this._waiting >= maxWaiting || this._clock.now() + delayMs > endsAt) {
				this._counters.increment('entry.rating.abandoned', 1, {service: req.service});
				return undefined;
			}

			this._waiting++;
			await sleep(this._clock, delayMs, signal); // eslint-disable-line no-await-in-loop -- waits before the next try
			this._waiting--;
		}
	}

	dispose(): void {
		this._abort.abort();
	}
}
