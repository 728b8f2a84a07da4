import {SeededRandom} from '../common/base/seeded-random.js';
import {dayMs} from '../common/evidence/alarm-budget.js';
import {evidenceKey, type EvidenceCounters, type EvidenceSubject} from '../common/evidence/evidence-counters.js';
import {EvidenceTotals} from '../common/evidence/evidence-totals.js';
import {QuarantineDetector} from '../common/evidence/quarantine-detector.js';
import {SimClock} from './sim-clock.js';

/** Setup of healthy versions, for which every quarantine is a false alarm. */
export interface FalseAlarmCase {
	readonly versionDays: number;
	readonly classes: number;
	/** Answers of a class in a day, and the share of these that is rated. */
	readonly answersPerDay: number;
	readonly ratedShare: number;
	readonly lowRatings: number;
	readonly failed: number;
	readonly slow: number;
	/** Relative change of the rates over a day, up and down, with a random phase for each class of each version. */
	readonly drift: number;
	/** Number of rated answers of the old version in each class. */
	readonly baseline: number;
}

/** Answers between two updates of the detector; larger values make the test slower, but not less exact. */
const answersPerUpdate = 10;

/** Runs each version for one day with its own baseline. @returns the number of false quarantines. */
export function countFalseAlarms(setup: FalseAlarmCase, seed: number): number {
	const random = new SeededRandom(seed).fork('false-alarms');
	let alarms = 0;
	const draw = (count: number, rate: number) => {
		let hits = 0;
		for (let index = 0; index < count; index++) {
			hits += random.next() < rate ? 1 : 0;
		}

		return hits;
	};

	for (let version = 0; version < setup.versionDays; version++) {
		const clock = new SimClock();
		const totals = new EvidenceTotals();
		const detector = new QuarantineDetector(clock, totals, (_, ref) => ref === 'new@2' ? 'old@1' : undefined);
		let alarmed = false;
		for (let requestClass = 0; requestClass < setup.classes; requestClass++) {
			const subject: EvidenceSubject = {
				service: 'service', requestClass: `class-${requestClass}`, ref: 'new@2', escalated: false,
			};
			const {baseline, lowRatings, failed, slow, ratedShare} = setup;
			const old: EvidenceCounters = [baseline, draw(baseline, failed), draw(baseline, slow), baseline, draw(baseline, lowRatings)];
			totals.add({host: 'entry-0', incarnation: 1, counters: {[evidenceKey({...subject, ref: 'old@1'})]: old}});
			const counters: EvidenceCounters = [0, 0, 0, 0, 0];
			const phase = 2 * Math.PI * random.next();
			for (let answers = 0; answers < setup.answersPerDay; answers += answersPerUpdate) {
				const factor = 1 + (setup.drift * Math.sin(phase + (2 * Math.PI * answers / setup.answersPerDay)));
				const rated = draw(answersPerUpdate, ratedShare);
				counters[0] += answersPerUpdate;
				counters[1] += draw(answersPerUpdate, failed * factor);
				counters[2] += draw(answersPerUpdate, slow * factor);
				counters[3] += rated;
				counters[4] += draw(rated, lowRatings * factor);
				const key = evidenceKey(subject);
				alarmed = detector.update(totals.add({host: 'entry-0', incarnation: 1, counters: {[key]: counters}})).length > 0 || alarmed;
			}
		}

		clock.runUntil(dayMs);
		alarms += alarmed ? 1 : 0;
	}

	return alarms;
}
