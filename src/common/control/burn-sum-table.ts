import {type BurnCountRow, type BurnSums} from './burn-sums.js';
import {type ControlResult} from './control-result.js';

/** State of the table in a snapshot. */
export type BurnSumSnapshot = {
	readonly newest: number;
	readonly hours: ReadonlyArray<readonly [number, readonly BurnCountRow[]]>;
	readonly written: ReadonlyArray<readonly [number, readonly string[]]>;
};

/** One hour in milliseconds. */
export const hourMs = 3_600_000;
/** Hours for which sums are kept: the 30 days of the error budget. */
const retentionHours = 720;
/** Hours for which sums are kept by version and customer: the longest burn window, 3 days, and one partial hour. */
const detailHours = 73;
/** Age in hours up to which sums are accepted, and accepted sums are remembered. */
const acceptanceHours = 6;
/** Maximum number of subjects in one hour; further ones are summed without version and customer. */
const maxSubjects = 256;
/** Maximum number of subjects in an hour older than `detailHours`, where sums are kept by service and objective only. */
const maxAggregatedSubjects = 64;

/**
Hourly sums of all and bad requests over all entry hosts. The sums of a process and hour are added once: a repeated
command is ignored, and so is a command for an hour too old to be remembered. Keeps 73 hours of 256 subjects and 647 hours
of 64 subjects; aggregated subjects may exceed these limits, up to twice the limit.
*/
export class BurnSumTable {
	private _newest = 0;
	private readonly _hours = new Map<number, Map<string, [total: number, bad: number]>>();
	private readonly _written = new Map<number, Set<string>>();

	/** Whether the sums of a process and hour are written, or the hour is too old to be accepted. */
	isWritten({host, incarnation, hour}: Pick<BurnSums, 'host' | 'incarnation' | 'hour'>): boolean {
		return hour <= this._newest - acceptanceHours || (this._written.get(hour)?.has(`${host}#${incarnation}`) ?? false);
	}

	/** Hours with their sums, unordered. */
	* hours(): Generator<readonly [hour: number, rows: readonly BurnCountRow[]]> {
		for (const [hour, sums] of this._hours) {
			yield [hour, [...sums].map(([subject, [total, bad]]) => [subject, total, bad] as const)];
		}
	}

	/** Adds the sums of a process and hour unless they are already written. */
	add(index: number, command: BurnSums): ControlResult {
		const {host, incarnation, hour, rows, at} = command;
		const currentHour = Math.floor(at / hourMs);
		this._newest = Math.max(this._newest, currentHour);
		if (this.isWritten(command) || hour > this._newest + 1) {
			return {status: 'ignored', reason: 'the sums of this process and hour are written or out of range'};
		}

		const written = this._written.get(hour) ?? new Set();
		this._written.set(hour, written.add(`${host}#${incarnation}`));
		const sums = this._hours.get(hour) ?? new Map<string, [number, number]>();
		this._hours.set(hour, sums);
		for (const row of rows) {
			addRow(sums, row, maxSubjects);
		}

		this._expire();
		return {status: 'accepted', revision: index};
	}

	snapshot(): BurnSumSnapshot {
		return {
			newest: this._newest, hours: [...this.hours()], written: [...this._written].map(([hour, processes]) => [hour, [...processes]] as const),
		};
	}

	restore(snapshot: BurnSumSnapshot | undefined): void {
		const {newest, hours, written} = snapshot ?? {newest: 0, hours: [], written: []};
		this._newest = newest;
		this._hours.clear();
		for (const [hour, rows] of hours) {
			this._hours.set(hour, new Map(rows.map(([subject, total, bad]) => [subject, [total, bad]])));
		}

		this._written.clear();
		for (const [hour, processes] of written) {
			this._written.set(hour, new Set(processes));
		}
	}

	private _expire(): void {
		for (const hour of this._written.keys()) {
			if (hour <= this._newest - acceptanceHours) {
				this._written.delete(hour);
			}
		}

		for (const [hour, sums] of this._hours) {
			if (hour <= this._newest - retentionHours) {
				this._hours.delete(hour);
			} else if (hour <= this._newest - detailHours && [...sums.keys()].some(subject => subject !== aggregateSubject(subject))) {
				const aggregated = new Map<string, [number, number]>();
				for (const [subject, [total, bad]] of sums) {
					addRow(aggregated, [aggregateSubject(subject), total, bad], maxAggregatedSubjects);
				}

				this._hours.set(hour, aggregated);
			}
		}
	}
}

/** Returns the subject without version and customer. */
function aggregateSubject(subject: string): string {
	const [service = '', objective = ''] = subject.split('|');
	return `${service}|${objective}|*|*`;
}

function addRow(sums: Map<string, [number, number]>, [subject, total, bad]: BurnCountRow, limit: number): void {
	const hasRoom = sums.has(subject) || sums.size < limit;
	const key = hasRoom ? subject : aggregateSubject(subject);
	// There are only as many aggregated subjects as objectives, so they may exceed the limit, up to twice the limit.
	if (!hasRoom && !sums.has(key) && sums.size >= 2 * limit) {
		return;
	}

	const [oldTotal, oldBad] = sums.get(key) ?? [0, 0];
	sums.set(key, [oldTotal + total, oldBad + bad]);
}
