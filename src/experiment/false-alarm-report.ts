import {countFalseAlarms, type FalseAlarmCase} from './false-alarms.js';
import {formatTable} from './table.js';

const base: FalseAlarmCase = {
	versionDays: 1000, classes: 3, answersPerDay: 6000, ratedShare: 0.35, lowRatings: 0.15, failed: 0.01, slow: 0.02, drift: 0, baseline: 2000,
};

/** Reports the false quarantines in 1,000 healthy version-days for each seed, without and with a drift of the failure rates over the day. */
export function falseAlarmReport(firstSeed: number, seeds: number): string {
	const rows = [['drift', 'false quarantines', 'version-days', 'for 1,000']];
	for (const drift of [0, 0.1]) {
		let alarms = 0;
		for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
			alarms += countFalseAlarms({...base, drift}, seed);
		}

		rows.push([`${100 * drift} %`, String(alarms), String(base.versionDays * seeds), (alarms / seeds).toFixed(2)]);
	}

	const {classes, answersPerDay, ratedShare, lowRatings, failed, slow, baseline} = base;
	const setup = [
		`Healthy versions, ${classes} classes, ${answersPerDay} answers of each class in a day, ${ratedShare} of them rated,`,
		`${lowRatings} low ratings, ${failed} failed, ${slow} slow; baseline of ${baseline} answers; seeds ${firstSeed} to ${firstSeed + seeds - 1}.`,
	].join('\n');
	return `${setup}\n\n${formatTable(rows)}`;
}
