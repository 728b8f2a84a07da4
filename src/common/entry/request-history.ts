import {type FinishedRequest} from './request-observer.js';

/** Explains the routing of a request, for `catkinbeam explain`. */
export interface RequestExplanation extends Pick<FinishedRequest, 'requestId' | 'service' | 'customer' | 'urgency' | 'outcome' | 'ref' | 'requestClass' | 'session' | 'plan' | 'pinned' | 'firstTokenMs' | 'betweenTokensMs' | 'cost' | 'attempts'> {
	/** Code of the refusal, if the caller received no complete answer. */
	readonly refusalCode?: string;
}

/** Maximum number of requests kept: about a minute at the target load, and days at a low load. */
const maxRequests = 1000;

/** The last 1,000 requests of this entry host. */
export class RequestHistory {
	private readonly _requests = new Map<string, RequestExplanation>();

	add({refusal, ...request}: FinishedRequest): void {
		this._requests.set(request.requestId, {...request, refusalCode: refusal?.code});
		if (this._requests.size > maxRequests) {
			const [oldest] = this._requests.keys();
			this._requests.delete(oldest!);
		}
	}

	/** Explanation of a request; undefined if it was evicted or handled by another entry host. */
	get(requestId: string): RequestExplanation | undefined {
		return this._requests.get(requestId);
	}
}
