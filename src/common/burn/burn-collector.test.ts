import {expect, it} from 'vitest';
import fc from 'fast-check';
import {LocalLog} from '../../testing/local-log.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlResult} from '../control/control-result.js';
import {ControlState} from '../control/control-state.js';
import {BurnSumTable, hourMs} from '../control/burn-sum-table.js';
import {BurnCollector} from './burn-collector.js';
import {BurnCounter} from './burn-counter.js';
import {type BurnReport} from './burn-section.js';

const sender = {host: 'entry-0', incarnation: 1};
const subject = {
	service: 'notes', objective: 'refusals', version: 'small@1', customer: 'acme',
};

/** A leader with a log that survives a change of the leader. */
class LeaderHarness {
	readonly clock = new ManualClock();
	readonly state = new ControlState();
	readonly log = new LocalLog<ControlCommand, ControlResult>('entry-0', this.state);
	collector = this.startCollector();
	/** Whether the reply to each proposal is lost after its commit. */
	losesReplies = false;

	startCollector(): BurnCollector {
		this.collector?.dispose();
		return new BurnCollector({
			sums: this.state.burnSums,
			isLeading: () => true,
			propose: async command => {
				const result = await this.log.propose(command);
				if (this.losesReplies) {
					throw new Error('reply lost');
				}

				return result;
			},
			clock: this.clock,
		});
	}

	/** All and bad requests over all hours. */
	get sums(): [number, number] {
		const rows = this.collector.hours().flatMap(([, rows]) => rows);
		return [rows.reduce((sum, [, total]) => sum + total, 0), rows.reduce((sum, row) => sum + row[2], 0)];
	}
}

// Guards against counts that are lost or counted twice because reports are resent, late or reordered.
it('gives the same sums for reports in any order, repeated or not', async () => {
	const harness = new LeaderHarness();
	const counter = new BurnCounter(harness.clock);
	const reports: BurnReport[] = [];
	for (let step = 0; step < 12; step++) {
		counter.count({...subject, customer: `customer-${step % 3}`}, 5, step % 2);
		reports.push(counter.report(step % 4 === 0));
		// eslint-disable-next-line no-await-in-loop -- time advances between the reports
		await harness.clock.advance(hourMs / 4);
	}

	harness.collector.dispose();
	fc.assert(fc.property(fc.shuffledSubarray([...reports.keys(), ...reports.keys()], {minLength: 24}), order => {
		const collector = new BurnCollector({
			sums: new BurnSumTable(), isLeading: () => false, propose: async () => ({status: 'ignored', reason: ''}), clock: harness.clock,
		});
		for (const index of order) {
			collector.receive(sender, reports[index]!);
		}

		const rows = collector.hours().flatMap(([, rows]) => rows);
		expect(rows.reduce((sum, [, total]) => sum + total, 0)).toBe(60);
		expect(rows.reduce((sum, row) => sum + row[2], 0)).toBe(6);
		collector.dispose();
	}), {seed: 7, numRuns: 50});
});

// Guards against counts that are lost or counted twice after a host restart or a leader change, with and without lost replies to proposals.
it.each([{losesReplies: false}, {losesReplies: true}])('keeps the counts over host restarts and leader changes (replies lost: $losesReplies)', async ({losesReplies}) => {
	const harness = new LeaderHarness();
	harness.losesReplies = losesReplies;
	const first = new BurnCounter(harness.clock);
	first.count(subject, 100, 3);
	harness.collector.receive(sender, first.report(false));
	await harness.clock.advance(hourMs);
	first.count(subject, 40, 2);
	harness.collector.receive(sender, first.report(false));
	await harness.clock.advance(60_000);
	expect(harness.state.burnSums.isWritten({host: 'entry-0', incarnation: 1_800_000_000_000, hour: 500_000})).toBe(true);

	// The host restarts within the second hour.
	const second = new BurnCounter(harness.clock);
	second.count(subject, 7, 1);
	harness.collector.receive(sender, second.report(false));
	expect(harness.sums).toEqual([147, 6]);
	await harness.clock.advance(60_000);

	// The leader changes; the new one has only the log and a full report of the running process.
	harness.collector = harness.startCollector();
	harness.collector.receive(sender, second.report(true));
	harness.collector.receive(sender, first.report(true));
	expect(harness.sums).toEqual([147, 6]);
	await harness.clock.advance(2 * hourMs);
	harness.collector.receive(sender, second.report(true));
	await harness.clock.advance(60_000);
	harness.collector = harness.startCollector();
	expect(harness.sums).toEqual([147, 6]);

	// A snapshot keeps the sums, and the sums already written stay marked as written.
	const restored = new ControlState();
	restored.restore(harness.state.snapshot());
	expect([...restored.burnSums.hours()]).toEqual([...harness.state.burnSums.hours()]);
	harness.collector.dispose();
});

// Guards against a host with a wrong clock that makes the leader propose the same sums forever.
it.each([{aheadMs: 48 * hourMs, proposals: 0}, {aheadMs: -48 * hourMs, proposals: 1}, {aheadMs: 0, proposals: 1}])('bounds the proposals for a clock that is $aheadMs ms ahead', async ({aheadMs, proposals}) => {
	const harness = new LeaderHarness();
	const counter = new BurnCounter(new ManualClock(1_800_000_000_000 + aheadMs));
	counter.count(subject, 1, 0);
	harness.collector.receive(sender, counter.report(true));
	await harness.clock.advance(3 * hourMs);
	expect(harness.log.commitIndex).toBe(proposals);
	harness.collector.dispose();
});

// Guards against a table that adds the sums of a process and hour twice, or the sums of an hour that it no longer remembers.
it.each([
	{name: 'the same sums again', change: {}, status: 'ignored'},
	{name: 'another process', change: {incarnation: 2}, status: 'accepted'},
	{name: 'another hour', change: {hour: 500_001}, status: 'accepted'},
	{name: 'an hour in the distant past', change: {incarnation: 3, hour: 499_990}, status: 'ignored'},
	{name: 'an hour in the future', change: {incarnation: 3, hour: 500_009}, status: 'ignored'},
])('adds sums once: $name', ({change, status}) => {
	const table = new BurnSumTable();
	const command = {
		type: 'burn-sums', host: 'entry-0', incarnation: 1, hour: 500_000, rows: [['notes|refusals|small@1|acme', 10, 1]], at: 500_001 * hourMs,
	} as const;
	expect(table.add(1, command).status).toBe('accepted');
	expect(table.add(2, {...command, ...change}).status).toBe(status);
});

// Guards against a control state that grows with the number of customers or without limit over time.
it('bounds the sums and keeps their totals for 30 days', () => {
	const table = new BurnSumTable();
	for (let hour = 0; hour < 800; hour++) {
		const rows = Array.from({length: 400}, (_, index) => [`notes|refusals|small@1|customer-${index}`, 1, 0] as const);
		table.add(hour, {
			type: 'burn-sums', host: 'entry-0', incarnation: 1, hour, rows, at: hour * hourMs,
		});
	}

	const hours = [...table.hours()];
	expect(hours).toHaveLength(720);
	expect(hours.every(([, rows]) => rows.reduce((sum, [, total]) => sum + total, 0) === 400)).toBe(true);
	expect(hours.reduce((sum, [, rows]) => sum + rows.length, 0)).toBeLessThanOrEqual((73 * 257) + 647);
});
