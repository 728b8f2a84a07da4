import {type BurnContributor, type BurnRow} from '../common/burn/burn-report.js';

/** Formats the time until the error budget is used up. */
export function budgetEndText({budgetEndsAt, budgetLeft}: BurnRow, now: number): string {
	if (budgetLeft <= 0) {
		return 'used up';
	}

	if (budgetEndsAt === undefined) {
		return 'not within 30 d';
	}

	const hours = (budgetEndsAt - now) / 3_600_000;
	return hours < 48 ? `in ${hours.toFixed(1)} h` : `in ${(hours / 24).toFixed(1)} d`;
}

/** Formats the first causes with their shares of the bad requests. */
export function causesText(causes: readonly BurnContributor[], limit: number): string {
	return causes.slice(0, limit).map(({name, share}) => `${name} ${(100 * share).toFixed(0)}%`).join(', ') || '-';
}
