import {type LearntState} from '../common/routing/estimate-totals.js';
import {TraceGenerator} from './generate-trace.js';
import {policyFactories} from './policies.js';
import {oracle} from './oracle.js';
import {Replay} from './replay.js';
import {scenarios} from './scenarios.js';
import {SimClock} from './sim-clock.js';
import {type SeedResult} from './summary.js';
import {type Trace} from './trace.js';

/** Difference between the seed of a trace and the seed of its earlier traffic. */
const warmSeedOffset = 1_000_000;

/** Runs policies one after another on the same trace. With `warmHours`, each policy first learns from that much earlier traffic. */
export function runSeed(trace: Trace, policies: readonly string[], hosts: number, warmHours = 0): SeedResult {
	const {seed} = trace.header;
	const results = policies.map(name => {
		const clock = new SimClock();
		return new Replay(trace, clock, policyFactories[name]!(clock, hosts, seed, warmHours > 0 ? learnFromEarlierTraffic(trace, name, hosts, warmHours) : undefined)).run();
	});
	return {
		seed, oracle: oracle(trace), results, dearestCost: results.find(({policy}) => policy === 'dearest')?.cost,
	};
}

/** Estimates after some hours of earlier traffic with the old versions only; the measured quality is not carried over. */
function learnFromEarlierTraffic({header}: Trace, name: string, hosts: number, hours: number): LearntState | undefined {
	const scenario = scenarios[header.name];
	if (!scenario) {
		return undefined;
	}

	const earlierTrace = new TraceGenerator({...scenario, hours}, header.seed + warmSeedOffset).generate();
	const earlierHeader = {...earlierTrace.header, rollout: undefined, bad: undefined};
	const versions = earlierHeader.versions.filter(({replaces}) => replaces === undefined);
	const clock = new SimClock();
	const policies = policyFactories[name]!(clock, hosts, earlierHeader.seed);
	new Replay({...earlierTrace, header: {...earlierHeader, versions}}, clock, policies).run();
	const learnt = policies.learnt?.();
	return learnt && {estimates: rebaseTimes(learnt.estimates, clock), quality: {}};
}

/** Shifts the times of the estimates for the next run, whose clock starts at 0. */
function rebaseTimes(estimates: LearntState['estimates'], clock: SimClock): LearntState['estimates'] {
	return Object.fromEntries(Object.entries(estimates).map(([key, estimate]) => [key, {...estimate, at: estimate.at - clock.now()}]));
}
