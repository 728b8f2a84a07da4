import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type LearntState} from './estimate-totals.js';
import {LearntExchange, LearntReporter} from './learnt-sections.js';

const state = (weight: number): LearntState => ({
	estimates: {},
	quality: {
		summaries: {
			answers: 1, predicted: 1, weight, weightSquares: 1, residual: 0, residualSquares: 0, rated: 1,
		},
	},
});

/** Policy that exports a fixed state and records the imported ones. */
function policyWith(weight: number) {
	const imported: LearntState[] = [];
	return {
		imported,
		exportEstimates: () => state(weight),
		importEstimates(shared: LearntState) {
			imported.push(shared);
		},
	};
}

function renew(reporter: LearntReporter, exchange: LearntExchange, sender: {host: string; incarnation: number}, term = 1): boolean {
	const sent = reporter.collect(term);
	if (sent) {
		exchange.receive(sender, sent);
	}

	reporter.acknowledge(term, sent, exchange.reply(sender));
	return sent !== undefined;
}

// Guards against a report in every renewal, which would exceed the budget of control traffic, and against a new leader that waits a minute for reports.
it('reports once a minute, and immediately to a new leader', async () => {
	const clock = new ManualClock();
	const exchange = new LearntExchange(clock, 1000);
	const sender = {host: 'a', incarnation: 1};
	const reporter = new LearntReporter(policyWith(1), clock, sender);
	const sent: boolean[] = [renew(reporter, exchange, sender), renew(reporter, exchange, sender)];
	await clock.advance(61_000);
	sent.push(renew(reporter, exchange, sender), renew(reporter, exchange, sender), renew(reporter, exchange, sender, 2));
	expect(sent).toEqual([true, false, true, false, true]);
});

// Guards against a new leader whose first replies replace the state that the hosts imported from its predecessor.
it('replies only after all hosts had time to report', async () => {
	const clock = new ManualClock();
	const exchange = new LearntExchange(clock, 1000);
	exchange.reset();
	const policies = [policyWith(0.123_456), policyWith(2)];
	const senders = [{host: 'a', incarnation: 1}, {host: 'b', incarnation: 1}];
	const reporters = policies.map((policy, index) => new LearntReporter(policy, clock, senders[index]!));
	for (const [index, reporter] of reporters.entries()) {
		renew(reporter, exchange, senders[index]!);
	}

	expect(policies.map(({imported}) => imported.length)).toEqual([0, 0]);
	await clock.advance(61_000);
	for (const [index, reporter] of reporters.entries()) {
		renew(reporter, exchange, senders[index]!);
	}

	expect(policies[0]!.imported).toEqual([state(2)]);
	expect(policies[1]!.imported).toEqual([state(0.1235)]);
});
