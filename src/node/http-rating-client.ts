import {Agent} from 'undici';
import {type Clock} from '../common/base/clock.js';
import {AppError} from '../common/base/app-error.js';
import {type Disposable} from '../common/base/disposable.js';
import {type RatingClient, type RatingRequest} from '../common/routing/rating-client.js';
import {timedConnector} from './timed-connector.js';

/** The rating service returned no rating. */
export class RatingError extends AppError {
	readonly code = 'rating-failed' as const;
}

/** Number of consecutive failures after which the rating service counts as down. */
const failureLimit = 3;
/** Time in milliseconds after the last failure at which a rating service that is down is tried again. */
const retryAfterMs = 5000;
const timeoutMs = 10_000;
/** Bytes of the body of an answer: a rating. */
const maxAnswerBytes = 64 * 1024;

/** Requests ratings over HTTP: `POST /v1/ratings`, answered with `{"rating": 0…1}`. */
export class HttpRatingClient implements RatingClient, Disposable {
	private readonly _agent = new Agent({
		connect: timedConnector(timeoutMs), headersTimeout: timeoutMs, bodyTimeout: timeoutMs, maxResponseSize: maxAnswerBytes,
	});

	private _consecutiveFailures = 0;
	private _lastFailureAt = 0;

	/** Without a URL there is no rating service, and every call fails. */
	constructor(private readonly _url: string | undefined, private readonly _clock: Clock) {}

	get isAvailable(): boolean {
		return this._url !== undefined && (this._consecutiveFailures < failureLimit || this._clock.now() - this._lastFailureAt >= retryAfterMs);
	}

	async rate(req: RatingRequest, signal?: AbortSignal): Promise<number> {
		if (!this.isAvailable) {
			throw new RatingError('the rating service is down');
		}

		try {
			const rating = await this._post(req, signal);
			this._consecutiveFailures = 0;
			return rating;
		} catch (error) {
			this._consecutiveFailures++;
			this._lastFailureAt = this._clock.now();
			throw new RatingError('the rating service returned no rating', {cause: error});
		}
	}

	dispose(): void {
		void this._agent.destroy();
	}

	private async _post(req: RatingRequest, signal?: AbortSignal): Promise<number> {
		// The timeouts of the client begin anew with each interim answer and each piece of a body.
		const timeout = AbortSignal.timeout(timeoutMs);
		const res = await this._agent.request({
			origin: this._url!,
			path: '/v1/ratings',
			method: 'POST',
			signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(req),
		});
		const {rating} = await res.body.json() as {rating?: unknown};
		if (res.statusCode !== 200 || typeof rating !== 'number' || !(rating >= 0 && rating <= 1)) {
			throw new RatingError(`unexpected reply with status ${res.statusCode}`);
		}

		return rating;
	}
}
