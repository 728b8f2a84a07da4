import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type EvidenceSubject} from '../common/evidence/evidence-counters.js';
import {EvidenceRecorder} from '../common/evidence/evidence-recorder.js';
import {EvidenceTotals} from '../common/evidence/evidence-totals.js';
import {FixedRateDetector} from '../common/evidence/fixed-rate-detector.js';
import {LocalDetector} from '../common/evidence/local-detector.js';
import {QuarantineDetector} from '../common/evidence/quarantine-detector.js';
import {UnratedCap} from '../common/evidence/unrated-cap.js';
import {SimClock} from './sim-clock.js';

/** How a bad version is detected: from the evidence of all hosts at the leader, from the evidence of each host alone, or by a fixed limit of the error rate at the leader. */
export const detections = ['shared', 'alone', 'fixed'] as const;
export type Detection = typeof detections[number];

/** Setup with a new version that is bad from the start and is offered all requests of its roll-out. */
export interface ExposureCase {
	readonly hosts: number;
	readonly detection: Detection;
	readonly requestsPerSecond: number;
	/** Shares of low ratings of the old version and of the new version. */
	readonly healthy: number;
	readonly bad: number;
	/** Number of rated answers of the old version before the roll-out. */
	readonly baseline: number;
	readonly ratingDelayMs: number;
	readonly missingRatings: number;
}

/** Answers of the bad version until its quarantine was in force at all hosts, and the hours until then. */
export interface ExposureResult {
	readonly exposure: number;
	readonly rated: number;
	readonly hours: number;
	/** Whether the version was quarantined at all hosts within the maximum duration. */
	readonly isQuarantined: boolean;
}

const subject: EvidenceSubject = {
	service: 'service', requestClass: 'class', ref: 'model@2', escalated: false,
};
/** Time in milliseconds from a decision of the leader until it is in force at all hosts; pending renewals at the leader return immediately. */
const inForceMs = 1000;
const renewMs = 1000;
/** Maximum duration of a run in milliseconds. */
const limitMs = 4 * 3_600_000;

/** Runs one bad version through the evidence modules until it is quarantined. */
export class ExposureRun {
	private readonly _clock = new SimClock();
	private readonly _random: RandomSource;
	private readonly _names: string[];
	private readonly _recorders: EvidenceRecorder[];
	private readonly _localDetectors: LocalDetector[];
	private readonly _caps: UnratedCap[];
	private readonly _totals = new EvidenceTotals();
	private readonly _leaderDetector: QuarantineDetector | FixedRateDetector;
	private readonly _quarantined: boolean[];
	private _hostsWithoutQuarantine: number;
	private _exposure = 0;
	private _rated = 0;
	private _lastQuarantineAt = 0;
	/** Hosts that got an answer or a rating since their last renewal. */
	private _changedHosts = new Set<number>();

	constructor(private readonly _case: ExposureCase, seed: number) {
		this._random = new SeededRandom(seed).fork('exposure');
		this._names = Array.from({length: _case.hosts}, (_, index) => `entry-${index}`);
		this._recorders = this._names.map(name => new EvidenceRecorder(name, 1));
		const predecessorOf = (_: string, ref: string) => ref === subject.ref ? 'model@1' : undefined;
		this._localDetectors = this._recorders.map(recorder => new LocalDetector(this._clock, recorder, predecessorOf));
		this._caps = this._names.map(name => new UnratedCap(this._clock, name));
		this._quarantined = this._names.map(() => false);
		this._hostsWithoutQuarantine = _case.hosts;
		this._addBaseline();
		this._leaderDetector = _case.detection === 'fixed' ? new FixedRateDetector(this._totals, 0.3, 50) : new QuarantineDetector(this._clock, this._totals, predecessorOf);
	}

	run(): ExposureResult {
		let attempt = 0;
		let nextRenewal = renewMs;
		for (let at = 0; at < limitMs && this._hostsWithoutQuarantine > 0;) {
			at += -1000 * Math.log(1 - this._random.next()) / this._case.requestsPerSecond;
			for (; nextRenewal <= at; nextRenewal += renewMs) {
				this._clock.runUntil(nextRenewal);
				this._renew();
			}

			this._clock.runUntil(at);
			this._request(`a${attempt++}`);
		}

		return {
			exposure: this._exposure, rated: this._rated, hours: this._lastQuarantineAt / 3_600_000, isQuarantined: this._hostsWithoutQuarantine === 0,
		};
	}

	/** Adds evidence on the old version, distributed over the hosts. */
	private _addBaseline(): void {
		const old = {...subject, ref: 'model@1'};
		for (let count = 0; count < this._case.baseline; count++) {
			const recorder = this._recorders[count % this._recorders.length]!;
			recorder.addAnswer(old, {result: 'answered', firstTokenMs: 0, betweenTokensMs: 0});
			recorder.addRating(old, this._random.next() < this._case.healthy ? 0 : 1);
		}

		for (const recorder of this._recorders) {
			this._totals.add(recorder.fullReport());
		}
	}

	private _request(attemptId: string): void {
		const host = this._random.integer(this._case.hosts);
		const cap = this._caps[host]!;
		if (!(this._quarantined[host] === false && cap.allows(subject.ref, this._rated, this._names))) {
			return;
		}

		cap.recordSent(subject.ref, attemptId);
		this._exposure++;
		this._changedHosts.add(host);
		this._recorders[host]!.addAnswer(subject, {result: 'answered', firstTokenMs: 0, betweenTokensMs: 0});
		if (this._random.next() < this._case.missingRatings) {
			return;
		}

		const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next());
		this._clock.setTimer(this._case.ratingDelayMs * Math.exp(0.5 * normal), () => {
			this._recorders[host]!.addRating(subject, this._random.next() < this._case.bad ? 0 : 1);
			cap.recordSettled(subject.ref, attemptId);
			this._rated++;
			this._changedHosts.add(host);
			if (this._case.detection !== 'fixed' && this._localDetectors[host]!.update().length > 0) {
				this._quarantine(host);
			}
		});
	}

	private _renew(): void {
		const changedHosts = this._changedHosts;
		this._changedHosts = new Set();
		if (this._case.detection === 'alone') {
			return;
		}

		const changed = new Set([...changedHosts].flatMap(host => {
			const report = this._recorders[host]!.incrementalReport();
			return report ? this._totals.add(report) : [];
		}));
		if (this._leaderDetector.update(changed).some(({ref}) => ref === subject.ref)) {
			this._clock.setTimer(inForceMs, () => {
				for (const host of this._names.keys()) {
					this._quarantine(host);
				}
			});
		}
	}

	private _quarantine(host: number): void {
		if (!this._quarantined[host]) {
			this._quarantined[host] = true;
			this._hostsWithoutQuarantine--;
			this._lastQuarantineAt = this._clock.now();
		}
	}
}
