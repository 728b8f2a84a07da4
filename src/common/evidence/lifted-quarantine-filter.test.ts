import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type EvidenceSubject} from './evidence-counters.js';
import {EvidenceRecorder} from './evidence-recorder.js';
import {LocalDetector} from './local-detector.js';

const subject: EvidenceSubject = {
	service: 's', requestClass: 'short', ref: 'small@2', escalated: false,
};

function rate(recorder: EvidenceRecorder, count: number, rating: number): void {
	for (let index = 0; index < count; index++) {
		recorder.addAnswer(subject, {result: 'answered', firstTokenMs: 1, betweenTokensMs: 1});
		recorder.addRating(subject, rating);
	}
}

// Guards against a lifted quarantine that the next answer sets again, and against a version that can never be quarantined again.
it('counts only evidence from after the lift of a quarantine', () => {
	const recorder = new EvidenceRecorder('a', 1);
	const lift: {at?: number} = {};
	const detector = new LocalDetector(new ManualClock(), recorder, () => 'small@1', () => lift.at);
	rate(recorder, 200, 0);
	expect(detector.update()).toHaveLength(1);
	lift.at = 7;
	rate(recorder, 1, 0.9);
	expect(detector.update()).toEqual([]);
	rate(recorder, 20, 0.9);
	expect(detector.update()).toEqual([]);
	rate(recorder, 300, 0);
	expect(detector.update()).toHaveLength(1);
});
