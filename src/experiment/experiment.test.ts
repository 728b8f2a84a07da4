import {describe, expect, it} from 'vitest';
import {failedExpectations} from './expectations.js';
import {FlagError} from './flag-error.js';
import {parseFlags} from './flags.js';
import {TraceGenerator} from './generate-trace.js';
import {oracle} from './oracle.js';
import {plot} from './plot.js';
import {runSeed} from './run-seed.js';
import {scenarios} from './scenarios.js';
import {formatTrace, parseTrace} from './trace-file.js';
import {type Trace, type TraceExpectation} from './trace.js';

function shortTrace(name: string, hours: number): Trace {
	return new TraceGenerator({...scenarios[name]!, hours}, 11).generate();
}

describe('experiment', () => {
	// Guards against a policy that misses its targets already in a short run, and against results that differ between runs.
	it.each(['coralvent', 'pulso'])('meets the quality target at less than half of the cost of dearest for %s, with equal results in each run', name => {
		const trace = shortTrace(name, 2);
		const {results, dearestCost} = runSeed(trace, ['learning', 'dearest'], 1);
		const [learning] = results;
		expect(learning!.cost).toBeLessThan(dearestCost! / 2);
		expect(learning!.quality + learning!.qualityInterval).toBeGreaterThan(trace.header.qualityTarget);
		expect(learning!.requests).toBe(trace.requests.length);
		expect(learning!.failed).toBe(0);
		const again = runSeed(trace, ['learning'], 1).results[0]!;
		expect([again.cost, again.quality, again.exposure]).toEqual([learning!.cost, learning!.quality, learning!.exposure]);
	});

	// Guards against a bad version that stays in use; half of the requests are offered to it.
	it('quarantines a planted bad version for its class only', () => {
		const scenario = scenarios.coralvent!;
		const rollout = {...scenario.rollout, at: 0, badFrom: 0};
		const {header, ...rest} = new TraceGenerator({...scenario, hours: 3, rollout}, 12).generate();
		const trace = {...rest, header: {...header, rollout: {...header.rollout!, steps: [50]}}};
		const [cheapest] = runSeed(trace, ['cheapest'], 9).results;
		expect(cheapest!.quarantines).toHaveLength(1);
		expect(cheapest!.quarantines[0]).toContain('small@2 incident-note: low ratings');
	});

	// Guards against an oracle that is worse than some policy, which would make comparisons with it meaningless.
	it('has no policy that meets the target more cheaply than the oracle', () => {
		const trace = shortTrace('pulso', 1);
		const best = oracle(trace);
		expect(best.quality).toBeGreaterThanOrEqual(trace.header.qualityTarget);
		for (const result of runSeed(trace, ['learning', 'dearest', 'fixed', 'random'], 1).results) {
			expect(result.quality < trace.header.qualityTarget || result.cost > best.cost).toBe(true);
		}
	});
});

describe('expectations', () => {
	const trace = shortTrace('coralvent', 0.05);
	const {results, oracle: best} = runSeed(trace, ['dearest'], 1);

	// Guards against a replay that passes although an expectation does not hold.
	it.each<[string, Partial<TraceExpectation>, RegExp | undefined]>([
		['holds', {metric: 'quality', atLeast: 0.5}, undefined],
		['fails by name when too low', {metric: 'quality', atLeast: 1.01}, /^planted: quality of dearest/v],
		['fails by name when too high', {metric: 'cost', atMost: 0}, /^planted: cost of dearest/v],
		['fails by name for an unknown metric', {metric: 'beauty', atLeast: 0}, /^planted: there is no metric beauty/v],
	])('%s', (_, change, failure) => {
		const failures = failedExpectations([{
			type: 'expect', name: 'planted', policy: 'dearest', metric: '', ...change,
		}], results, best);
		expect(failures).toHaveLength(failure ? 1 : 0);
		expect(failures[0] ?? '').toMatch(failure ?? /^$/v);
	});

	// Guards against a trace file that loses or changes data.
	it('reads back what it writes', () => {
		const expectations: TraceExpectation[] = [{
			type: 'expect', name: 'n', policy: 'dearest', metric: 'quality', atLeast: 0.5,
		}];
		expect(parseTrace(formatTrace({...trace, expectations}))).toEqual({...trace, expectations});
	});

	// Guards against a malformed trace that is replayed with missing parts.
	it.each([
		['', 'the trace is empty'],
		['{', 'line 1: not JSON'],
		['{"type":"event","at":1,"event":"ratings-down"}', 'line 1: the first line'],
		['{"type":"request"}', 'line 1:'],
	])('refuses the text %j', (text, message) => {
		expect(() => parseTrace(text)).toThrow(message);
	});

	// Guards against a plot that cannot be displayed.
	it('plots each policy', () => {
		const svg = plot('title', 0.9, results);
		expect(svg).toContain('>dearest</text>');
		expect(svg.match(/<polyline/gv)).toHaveLength(2);
		expect(svg).not.toContain('NaN');
	});
});

describe('flags', () => {
	// Guards against a run with settings other than those requested.
	it.each([
		[['--scenario', 'nowhere']],
		[[]],
		[['--scenario', 'pulso', '--policy', 'best']],
		[['--scenario', 'pulso', '--seeds', '0']],
		[['--scenario', 'pulso', '--seeds', '1.5']],
		[['--scenario', 'pulso', '--sedes', '3']],
		[['--scenario', 'pulso', 'extra']],
		[['--scenario', 'pulso', '--seed']],
	])('refuses %j', args => {
		expect(() => parseFlags(['node', 'main.js', ...args])).toThrow(FlagError);
	});

	it('reads the flags', () => {
		expect(parseFlags(['node', 'main.js', '--scenario', 'pulso', '--policy', 'fixed', '--seed', '7', '--seeds', '3', '--hosts', '2']))
			.toMatchObject({
				scenario: 'pulso', policies: ['fixed'], seed: 7, seeds: 3, hosts: 2, warmHours: 0,
			});
	});
});
