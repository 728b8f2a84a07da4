import {type BurnContributor, type BurnRow} from '../common/burn/burn-report.js';

/** Time until the budget ends, for people. */
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

/** Name and part of the burn of the worst causes. */
export function causesText(causes: readonly BurnContributor[], limit: number): string {
	return causes.slice(0, limit).map(({name, share}) => `${name} ${(100 * share).toFixed(0)}%`).join(', ') || '-';
}
