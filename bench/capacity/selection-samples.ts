import {type BackendServer} from '../../src/common/control/backend-server.js';
import {SeededRandom} from '../../src/common/base/seeded-random.js';
import {LoadAwareSelector} from '../../src/common/routing/load-aware-selector.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {createEngine} from '../control-rig-data.js';
import {quantile} from '../ledger/bench-support.js';
import {measureSubsets, type SubsetResult} from '../subset-measure.js';

/** Time of one selection among a number of backend servers. */
export interface SelectionSample {
	readonly candidates: number;
	readonly medianUs: number;
}

const selections = 2000;

function measureSelections(candidates: number): SelectionSample {
	const selector = new LoadAwareSelector(new ManualClock(), new SeededRandom(3), {zone: 'zone-0'});
	const servers: BackendServer[] = Array.from({length: candidates}, (_, index) => createEngine(index));
	for (const {id, incarnation} of servers) {
		selector.reportLoad(id, incarnation, {
			running: 10, queued: 1, queuedTokens: 500, prefillRate: 5000, decodeRate: 1000, at: 0,
		});
	}

	const times: number[] = [];
	for (let selection = 0; selection < selections; selection++) {
		const req = {
			urgency: 'normal' as const, inputTokens: 800, maxTokens: 300, prefixHashes: [selection, selection + 1, selection + 2], exclude: new Set<string>(),
		};
		const start = performance.now();
		const server = selector.select(req, servers);
		times.push((performance.now() - start) * 1000);
		if (!server) {
			throw new Error('the selector returned no server');
		}

		selector.dispatch(req, server).finish({failed: false, outputTokens: 300});
	}

	return {candidates, medianUs: quantile(times, 0.5)};
}

/** Measures the time of a selection by number of candidates. */
export function measureSelection(): SelectionSample[] {
	return [16, 24, 50, 100, 200, 400, 690].map(candidates => measureSelections(candidates));
}

/** Measures the planning of subsets by number of daemons, with 690 engines and 16 versions. */
export function measureSubsetPlans(): Array<readonly [daemons: number, result: SubsetResult]> {
	return [50, 100, 200, 370].map(daemons => [daemons, measureSubsets({
		daemons, servers: 690, zones: 6, versions: 16,
	})] as const);
}
