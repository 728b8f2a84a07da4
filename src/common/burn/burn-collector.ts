import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type BurnSums} from '../control/burn-sums.js';
import {type BurnSumTable} from '../control/burn-sum-table.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlResult} from '../control/control-result.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {type BurnBucket, burnSection, type BurnReport} from './burn-section.js';
import {minuteMs} from './burn-limits.js';
import {ProcessCounts} from './process-counts.js';

/** Dependencies of `BurnCollector`. */
export interface BurnCollectorOptions {
	readonly sums: BurnSumTable;
	/** Whether this host acts as leader. */
	readonly isLeading: () => boolean;
	readonly propose: (command: ControlCommand) => Promise<ControlResult>;
	readonly clock: Clock;
}

/** Interval in milliseconds between two checks for complete hours; much shorter than the time for which hosts keep them. */
const sweepIntervalMs = 10_000;

/** Collects the counts of all entry hosts on the leader and writes complete hours to the control log. */
export class BurnCollector implements LeaderSection<BurnReport, never>, Disposable {
	readonly section = burnSection;
	private readonly _processes = new Map<string, ProcessCounts>();
	/** Start of the latest process by host. */
	private readonly _latestStarts = new Map<string, number>();
	private readonly _proposing = new Set<string>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: BurnCollectorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this.sweep();
		});
	}

	reset(): void {
		this._processes.clear();
		this._latestStarts.clear();
	}

	receive({host}: RenewalSender, report: BurnReport): void {
		const key = `${host}#${report.startedAt}`;
		const counts = this._processes.get(key) ?? new ProcessCounts(host, report.startedAt);
		this._processes.set(key, counts);
		this._latestStarts.set(host, Math.max(this._latestStarts.get(host) ?? 0, report.startedAt));
		counts.receive(report, this._options.clock.wallTime());
	}

	reply(): undefined {
		return undefined;
	}

	/** Minute buckets of all hosts, one element per process and minute. */
	minutes(): BurnBucket[] {
		return [...this._processes.values()].flatMap(({minutes}) => [...minutes.buckets].map(bucket => [bucket, minutes.rows(bucket)] as const));
	}

	/** Hour buckets of all hosts, including those in the control log; an hour has one or more elements. */
	hours(): BurnBucket[] {
		const unwritten = [...this._processes.values()].flatMap(process => [...process.hours.buckets]
			.filter(hour => !this._options.sums.isWritten({...identity(process), hour}))
			.map(hour => [hour, process.hours.rows(hour)] as const));
		return [...this._options.sums.hours(), ...unwritten];
	}

	/** Proposes the sums of complete hours and deletes counts that are no longer needed. */
	sweep(): void {
		const {clock, sums, isLeading} = this._options;
		const now = clock.wallTime();
		for (const [key, process] of this._processes) {
			process.minutes.prune(Math.floor(now / minuteMs));
			const isReplaced = (this._latestStarts.get(process.host) ?? 0) > process.startedAt;
			for (const hour of process.hours.buckets) {
				if (sums.isWritten({...identity(process), hour})) {
					process.hours.delete(hour);
				} else if (isLeading() && process.isComplete(hour, now, isReplaced)) {
					void this._propose({
						type: 'burn-sums', ...identity(process), hour, rows: process.hours.rows(hour), at: now,
					});
				}
			}

			if ([...process.hours.buckets].length === 0 && [...process.minutes.buckets].length === 0) {
				this._processes.delete(key);
			}
		}
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private async _propose(command: BurnSums): Promise<void> {
		const key = `${command.host}#${command.incarnation}#${command.hour}`;
		if (this._proposing.has(key)) {
			return;
		}

		this._proposing.add(key);
		try {
			await this._options.propose(command);
		} catch {
			// The next sweep, here or on a new leader, proposes the hour again; the table adds it only once.
		} finally {
			this._proposing.delete(key);
		}
	}
}

function identity({host, startedAt}: ProcessCounts): {host: string; incarnation: number} {
	return {host, incarnation: startedAt};
}
