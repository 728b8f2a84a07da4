import {AlarmBudget} from '../common/evidence/alarm-budget.js';
import {defaultDetectorSettings} from '../common/evidence/quarantine-detector.js';
import {waldExpectedSample, divergence} from '../common/evidence/wald-sample.js';
import {detections, ExposureRun, type ExposureCase} from './exposure.js';
import {formatTable} from './table.js';

const base: Omit<ExposureCase, 'hosts' | 'detection'> = {
	requestsPerSecond: 5, healthy: 0.15, bad: 0.5, baseline: 2000, ratingDelayMs: 40_000, missingRatings: 0.1,
};
/** Probability in Wald's formula that a bad version is missed. */
const missProbability = 0.05;

/** Reports the exposure to a new bad version by number of hosts and kind of detection, compared with Wald's expected sample. */
export function exposureReport(hostCounts: readonly number[], firstSeed: number, seeds: number): string {
	const {classes, falseAlarmsPerDay} = defaultDetectorSettings;
	// Error rate of the test that detects the version, at an answer near the end of the expected sample.
	const falseAlarm = new AlarmBudget(falseAlarmsPerDay, 6 * classes).share(50);
	const rates = {
		healthy: base.healthy, bad: base.bad, falseAlarm, miss: missProbability,
	};
	const wald = waldExpectedSample(rates);
	const rows = [['hosts', 'detection', 'exposure', 'worst', '/ Wald', 'rated', 'hours', 'found']];
	for (const hosts of hostCounts) {
		// With `alone`, 90 or more hosts need days of answers, so only the smaller sizes run.
		for (const detection of detections.filter(name => name !== 'alone' || hosts <= 9)) {
			const results = Array.from({length: seeds}, (_, index) => new ExposureRun({...base, hosts, detection}, firstSeed + index).run());
			const mean = (pick: (result: typeof results[number]) => number) => results.reduce((sum, result) => sum + pick(result), 0) / seeds;
			const exposure = mean(result => result.exposure);
			rows.push([
				String(hosts),
				detection,
				exposure.toFixed(1),
				String(Math.max(...results.map(result => result.exposure))),
				(exposure / wald).toFixed(2),
				mean(({rated}) => rated).toFixed(1),
				mean(({hours}) => hours).toFixed(2),
				`${results.filter(({isQuarantined}) => isQuarantined).length}/${seeds}`,
			]);
		}
	}

	return [
		`New version with ${base.bad} low ratings instead of ${base.healthy}; ${base.requestsPerSecond} requests/s offered to it, rating after ${base.ratingDelayMs / 1000} s,`,
		`${base.missingRatings} of the ratings missing; seeds ${firstSeed} to ${firstSeed + seeds - 1}.`,
		`Wald: a = ${falseAlarm.toExponential(2)} (budget ${falseAlarmsPerDay} a version-day over ${6 * classes} tests and the answers of the day), b = ${missProbability},`,
		`  ((1-b)·ln((1-b)/a) + b·ln(b/(1-a))) / KL = ${(wald * divergence(base.bad, base.healthy)).toFixed(2)} / ${divergence(base.bad, base.healthy).toFixed(4)} = ${wald.toFixed(1)} rated answers`,
		`  with a = ${falseAlarmsPerDay} for the whole day: ${waldExpectedSample({...rates, falseAlarm: falseAlarmsPerDay}).toFixed(1)}`,
		'',
		formatTable(rows),
	].join('\n');
}
