import {type BackendServer} from '../control/backend-server.js';
import {type Urgency} from '../documents/urgency.js';
import {BackendHealth} from './backend-health.js';
import {type LoadReport} from './load-report.js';
import {PrefixHolder} from './prefix-index.js';

/** Prompt tokens per second assumed before the first report; lower than those of common engines, so that a server without reports is not preferred. */
const defaultPrefillRate = 8000;
/** Duration of a request in milliseconds, assumed before the first one ends. */
const defaultRequestMs = 2000;
/** Initial estimate of the interval between reports in milliseconds: that of the renewals. */
const defaultReportIntervalMs = 1000;
/** Number of intervals after which a missing report indicates a fault; two reports may be lost by chance. */
const missedIntervals = 2.5;
/** Weight of a new sample in the exponential moving averages. */
const sampleWeight = 0.1;
/** Bounds and half-life of the ratio between observed and expected time to first token. */
const minSlowness = 0.7;
const maxSlowness = 10;
const slownessHalfLifeMs = 20_000;

/** Request of this entry host in flight on a backend server. */
export type InFlightRequest = {readonly sentAt: number; readonly tokens: number; readonly urgency: Urgency; readonly expectedMs: number};

/** State of one incarnation of a backend server, as seen by this entry host. */
export class ServerState {
	readonly health = new BackendHealth();
	readonly prefixes: PrefixHolder;
	report: LoadReport | undefined;
	/** Prompt tokens of local requests without a first token: of all and of urgent ones. */
	waitingTokens = 0;
	waitingUrgentTokens = 0;
	/** Local requests sent and ended since the report, and the prompt tokens of all and of the urgent ones sent. */
	sentSinceReport = 0;
	sentTokensSinceReport = 0;
	sentUrgentTokensSinceReport = 0;
	endedSinceReport = 0;
	/** Exponential moving average of the duration of a request, in milliseconds. */
	meanRequestMs = defaultRequestMs;
	/** Time of the last use; unused states are removed. */
	usedAt = 0;
	/** Expected time to first token plus penalties in milliseconds, in the current selection. */
	score = 0;
	private readonly _inFlight = new Set<InFlightRequest>();
	private readonly _awaitingFirstToken = new Set<InFlightRequest>();
	private _reportIntervalMs = defaultReportIntervalMs;
	private _slowness = 1;
	private _slownessAt = 0;

	/** @param server - Latest announcement of the incarnation; undefined until the first selection. */
	constructor(id: string, readonly incarnation: number, public server?: BackendServer) {
		this.prefixes = new PrefixHolder(id);
	}

	/** Number of local requests in flight. */
	get inFlight(): number {
		return this._inFlight.size;
	}

	/** Prompt tokens processed per second. */
	get prefillRate(): number {
		const rate = this.report?.prefillRate ?? 0;
		return rate > 0 ? rate : defaultPrefillRate;
	}

	/** Ratio of observed to expected time to first token; decays to 1, so that a recovered server gets requests again. */
	slowness(now: number): number {
		return this._slowness === 1 ? 1 : 1 + ((this._slowness - 1) * (0.5 ** ((now - this._slownessAt) / slownessHalfLifeMs)));
	}

	/** Milliseconds by which the first token of the oldest local request without one is overdue. */
	firstTokenOverdueMs(now: number): number {
		const oldest = this._awaitingFirstToken.size === 0 ? undefined : this._awaitingFirstToken.values().next().value;
		return oldest ? Math.max(0, now - oldest.sentAt - oldest.expectedMs) : 0;
	}

	/** Milliseconds by which the next report is overdue. */
	reportOverdueMs(now: number): number {
		return this.report ? Math.max(0, now - this.report.at - (missedIntervals * this._reportIntervalMs)) : 0;
	}

	/** Applies a report unless a newer one is known. */
	applyReport(report: LoadReport): void {
		if (this.report && report.at < this.report.at) {
			return;
		}

		if (this.report) {
			this._reportIntervalMs += (report.at - this.report.at - this._reportIntervalMs) * sampleWeight;
		}

		this.report = report;
		this.sentSinceReport = 0;
		this.sentTokensSinceReport = 0;
		this.sentUrgentTokensSinceReport = 0;
		this.endedSinceReport = 0;
		for (const request of this._inFlight) {
			if (request.sentAt > report.at) {
				this._countSent(request);
			}
		}
	}

	/** Records that a local request was sent. */
	recordSent(request: InFlightRequest): void {
		this._inFlight.add(request);
		this._awaitingFirstToken.add(request);
		this._countSent(request);
		this._countWaiting(request, 1);
	}

	/** Records the first token of a local request. */
	recordFirstToken(request: InFlightRequest, observedMs: number, now: number): void {
		this._stopWaiting(request);
		const ratio = Math.min(maxSlowness, Math.max(minSlowness, observedMs / Math.max(1, request.expectedMs)));
		const current = this.slowness(now);
		this._slowness = current + ((ratio - current) * sampleWeight);
		this._slownessAt = now;
	}

	/** Records the end of a local request. */
	recordEnd(request: InFlightRequest, failed: boolean, now: number): void {
		this._stopWaiting(request);
		this._inFlight.delete(request);
		this.endedSinceReport++;
		if (!failed) {
			this.meanRequestMs += (now - request.sentAt - this.meanRequestMs) * sampleWeight;
		}
	}

	private _stopWaiting(request: InFlightRequest): void {
		if (this._awaitingFirstToken.delete(request)) {
			this._countWaiting(request, -1);
		}
	}

	private _countWaiting(request: InFlightRequest, sign: number): void {
		this.waitingTokens += sign * request.tokens;
		if (request.urgency === 'urgent') {
			this.waitingUrgentTokens += sign * request.tokens;
		}
	}

	private _countSent(request: InFlightRequest): void {
		this.sentSinceReport++;
		this.sentTokensSinceReport += request.tokens;
		if (request.urgency === 'urgent') {
			this.sentUrgentTokensSinceReport += request.tokens;
		}
	}
}
