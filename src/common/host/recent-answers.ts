import {minuteMs} from '../burn/burn-limits.js';
import {type BurnSubject} from '../burn/burn-subject.js';

/** Answers of one minute with the same subject and request class. */
interface AnswerGroup {
	readonly minute: number;
	readonly subject: BurnSubject;
	readonly requestClass: string | undefined;
	count: number;
}

/** Number of minutes before a version is found to be bad in which its answers count as exposed. */
const lookbackMinutes = 10;
/** Maximum number of groups; the oldest are dropped first. */
const maxGroups = 2000;

/** Answers of the last 10 minutes whose versions are not known to be bad. */
export class RecentAnswers {
	private readonly _groups = new Map<string, AnswerGroup>();

	add(subject: BurnSubject, requestClass: string | undefined, wallTime: number): void {
		const minute = Math.floor(wallTime / minuteMs);
		const key = [minute, subject.service, subject.objective, subject.version, subject.customer, requestClass].join('|');
		const group = this._groups.get(key);
		if (group) {
			group.count++;
			return;
		}

		this._groups.set(key, {
			minute, subject, requestClass, count: 1,
		});
		if (this._groups.size > maxGroups) {
			const [oldest] = this._groups.keys();
			this._groups.delete(oldest!);
		}
	}

	/** Removes and returns the answers of versions that have become bad. */
	takeBad(isBad: (subject: BurnSubject, requestClass: string | undefined) => boolean, wallTime: number): Array<{subject: BurnSubject; count: number}> {
		const first = Math.floor(wallTime / minuteMs) - lookbackMinutes;
		const bad: AnswerGroup[] = [];
		for (const [key, group] of this._groups) {
			if (group.minute < first) {
				this._groups.delete(key);
			} else if (isBad(group.subject, group.requestClass)) {
				this._groups.delete(key);
				bad.push(group);
			}
		}

		return bad;
	}
}
