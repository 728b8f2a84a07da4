import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {type BackendServer} from '../control/backend-server.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {type SelectionRequest} from './backend-selector.js';
import {LoadAwareSelector} from './load-aware-selector.js';
import {type LoadReport} from './load-report.js';

const server = (id: string, changes: Partial<BackendServer> = {}): BackendServer => ({
	id, incarnation: 1, address: `${id}:1`, zone: 'a', kind: 'engine', offers: [], services: [], checksFencing: true, checksSender: true, capacity: 8, ...changes,
});
const load = (changes: Partial<LoadReport> = {}): LoadReport => ({
	at: 0, running: 0, queued: 0, queuedTokens: 0, prefillRate: 10_000, decodeRate: 1000, ...changes,
});
const request = (changes: Partial<SelectionRequest> = {}): SelectionRequest => ({
	urgency: 'normal', inputTokens: 1000, maxTokens: 100, prefixHashes: [], exclude: new Set(), ...changes,
});

function setup() {
	const clock = new ManualClock();
	return {clock, selector: new LoadAwareSelector(clock, new SeededRandom(5), {zone: 'a'})};
}

/** Ids chosen in 200 selections without a dispatch. */
function chosen(selector: LoadAwareSelector, servers: readonly BackendServer[], req = request()): string[] {
	return [...new Set(Array.from({length: 200}, () => selector.select(req, servers)?.id ?? 'none'))].toSorted((a, b) => a.localeCompare(b));
}

// Guards against a choice that ignores a part of the expected time to first token.
it.each<[string, Array<[BackendServer, LoadReport]>, Partial<SelectionRequest>, string[]]>([
	['equal servers share the requests', [[server('x'), load()], [server('y'), load()]], {}, ['x', 'y']],
	['a queue counts', [[server('x'), load({queuedTokens: 5000})], [server('y'), load()]], {}, ['y']],
	['a low prefill rate counts', [[server('x'), load({prefillRate: 2000})], [server('y'), load()]], {}, ['y']],
	['a full batch counts', [[server('x'), load({running: 8})], [server('y'), load({running: 7})]], {}, ['y']],
	['the local zone is preferred', [[server('x'), load()], [server('y', {zone: 'b'}), load()]], {}, ['x']],
	['another zone is used when the local one is busy', [[server('x'), load({queuedTokens: 5000})], [server('y', {zone: 'b'}), load()]], {}, ['y']],
	['an excluded server is not used', [[server('x'), load()], [server('y'), load()]], {exclude: new Set(['x'])}, ['y']],
	['urgent requests skip queued normal ones', [[server('x'), load({queuedTokens: 5000, urgentQueuedTokens: 0})], [server('y'), load({queuedTokens: 1000})]], {urgency: 'urgent'}, ['x']],
	['no server is left', [[server('x'), load()]], {exclude: new Set(['x'])}, ['none']],
])('%s', (_, servers, changes, expected) => {
	const {selector} = setup();
	for (const [item, report] of servers) {
		selector.reportLoad(item.id, 1, report);
	}

	expect(chosen(selector, servers.map(([item]) => item), request(changes))).toEqual(expected);
});

// Guards against treating the queue of a stale report as not drained, and against ignoring requests sent since the report.
it('corrects a report by its age and by local requests', async () => {
	const {clock, selector} = setup();
	const servers = [server('x'), server('y')];
	selector.reportLoad('x', 1, load({queuedTokens: 10_000}));
	selector.reportLoad('y', 1, load());
	expect(chosen(selector, servers)).toEqual(['y']);
	await clock.advance(1000);
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
	selector.dispatch(request(), servers[1]!);
	expect(chosen(selector, servers)).toEqual(['x']);
});

// Guards against a loss of prefix affinity, and against a hot spot on a server with a popular prefix.
it('prefers the holder of a prefix until it is above the load bound', () => {
	const {selector} = setup();
	const servers = ['x', 'y', 'z'].map(id => server(id));
	const req = request({prefixHashes: [1, 2, 3, 4]});
	selector.reportCache('x', 1, {sequence: 1, stored: [1, 2, 3], evicted: []});
	expect(chosen(selector, servers, req)).toEqual(['x']);
	selector.reportLoad('x', 1, load({running: 7}));
	selector.reportLoad('y', 1, load({running: 1}));
	selector.reportLoad('z', 1, load({running: 1}));
	expect(chosen(selector, servers, req)).toEqual(['x', 'y', 'z']);
});

// Guards against applying the state of a dead incarnation to its successor, and against late reports of the dead incarnation.
it('keeps state by incarnation', () => {
	const {selector} = setup();
	const servers = [server('x', {incarnation: 2}), server('y')];
	selector.reportLoad('x', 1, load({queuedTokens: 90_000}));
	selector.reportLoad('y', 1, load({prefillRate: 8000}));
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
	selector.reportLoad('x', 2, load({prefillRate: 8000}));
	selector.reportLoad('x', 1, load({queuedTokens: 90_000}));
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
});

// Guards against a server that reports a low load and answers slowly.
it('learns from the observed first tokens that a server is slow', () => {
	const {selector} = setup();
	const servers = [server('x'), server('y')];
	for (const {id} of servers) {
		selector.reportLoad(id, 1, load());
	}

	for (let count = 0; count < 5; count++) {
		const dispatch = selector.dispatch(request(), servers[0]!);
		dispatch.firstToken(1500);
		dispatch.finish({failed: false, outputTokens: 10});
	}

	expect(chosen(selector, servers)).toEqual(['y']);
});

// Guards against an outage of a version when a short fault near the entry host ejects all its servers.
it('uses servers without a failed trial when all are ejected, and none when all trials fail', async () => {
	const {clock, selector} = setup();
	const servers = [server('x'), server('y')];
	const fail = (item: BackendServer) => {
		selector.dispatch(request(), item).finish({failed: true, outputTokens: 0});
	};

	for (let count = 0; count < 3; count++) {
		fail(servers[0]!);
	}

	await clock.advance(10);
	expect(chosen(selector, servers)).toEqual(['y']);
	for (let count = 0; count < 3; count++) {
		fail(servers[1]!);
	}

	await clock.advance(10);
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
	for (const item of servers) {
		fail(item);
	}

	expect(chosen(selector, servers)).toEqual(['none']);
	expect(selector.expectedFirstTokenMs(request(), servers)).toBeUndefined();
	await clock.advance(10_000);
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
});

// Guards against a sample of a long list that misses the holder of the prefix, includes servers outside the list, or always has the same servers.
it('samples the holder and a changing part of a long list', async () => {
	const {clock, selector} = setup();
	const servers = Array.from({length: 690}, (_, index) => server(`e${index}`));
	expect(chosen(selector, servers).length).toBeGreaterThan(100);
	selector.reportCache('e5', 1, {sequence: 1, stored: [1, 2, 3], evicted: []});
	const req = request({prefixHashes: [1, 2, 3, 4]});
	expect(chosen(selector, servers, req)).toEqual(['e5']);
	expect(chosen(selector, servers.slice(100), req)).not.toContain('e5');
	expect(chosen(selector, servers, {...req, exclude: new Set(['e5'])})).not.toContain('e5');
	for (let count = 0; count < 3; count++) {
		selector.dispatch(req, servers[5]!).finish({failed: true, outputTokens: 0});
	}

	await clock.advance(10);
	expect(chosen(selector, servers, req)).not.toContain('e5');
});

// Guards against choosing a crashed server that looks idle, because the queue of its last report counts as drained.
it('avoids a server whose reports or first tokens are missing', async () => {
	const {clock, selector} = setup();
	const servers = [server('x'), server('y')];
	for (let second = 0; second < 6; second++) {
		selector.reportLoad('x', 1, load({at: clock.now()}));
		selector.reportLoad('y', 1, load({at: Math.min(clock.now(), 2000)}));
		// eslint-disable-next-line no-await-in-loop -- one report each second
		await clock.advance(1000);
	}

	expect(chosen(selector, servers)).toEqual(['x']);
	selector.reportLoad('y', 1, load({at: clock.now()}));
	expect(chosen(selector, servers)).toEqual(['x', 'y']);
	selector.dispatch(request({inputTokens: 10}), servers[0]!);
	await clock.advance(300);
	expect(chosen(selector, servers)).toEqual(['y']);
});
