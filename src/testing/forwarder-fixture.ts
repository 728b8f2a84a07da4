import {type Clock} from '../common/base/clock.js';
import {HeldBytes} from '../common/base/held-bytes.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type ConfigLease} from '../common/control/config-lease.js';
import {type ServiceRollout} from '../common/control/service-rollout.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {type ColdServers, unlimitedColdServers} from '../common/forwarding/cold-servers.js';
import {type CrashObserver} from '../common/forwarding/crash-observer.js';
import {type ForwardServices, type Reach} from '../common/forwarding/forward-services.js';
import {nullSpeedObserver} from '../common/forwarding/speed-observer.js';
import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {Forwarder} from '../common/forwarding/forwarder.js';
import {LoadAwareCascade} from '../common/forwarding/load-aware-cascade.js';
import {nullReleaseObserver} from '../common/forwarding/null-release-observer.js';
import {PeerHosts} from '../common/forwarding/peer-hosts.js';
import {ModelSpeeds} from '../common/forwarding/model-speeds.js';
import {PlaceQueue} from '../common/forwarding/place-queue.js';
import {AffinityPlacement} from '../common/forwarding/placement.js';
import {type RequestDigest} from '../common/forwarding/request-digest.js';
import {RouteTable} from '../common/forwarding/route-table.js';
import {
	type Customer, repetition, type Repetition, type Route,
} from '../common/forwarding/routing-config.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {ManualClock} from './manual-clock.js';
import {RecordingCounters} from './recording-counters.js';
import {RecordingLogger} from './recording-logger.js';
import {RecordingSink} from './recording-sink.js';
import {ScriptedPort} from './scripted-port.js';

const nullCrashes: CrashObserver = {
	recordBroken: () => undefined, recordComplete: () => undefined, recordRefused: () => undefined, isSound: () => true, isSoundRequest: () => false,
};

const testDigests: RequestDigest = {digest: ({message: {target}}, customer) => `${customer ?? ''}${target}`};

/** Lease that does not end, with a configuration that stays the newest one. */
export const endlessLease: ConfigLease = {
	expiresAt: Infinity, currentUntil: Infinity, isSuperseded: false, isValid: () => true,
};

const nullReach: Reach = {isLost: () => false, recordContact: () => undefined, recordFailure: () => undefined};

/** Creates a backend server of service `s`. */
export function testBackend(id: string, changes: Partial<BackendServer> = {}): BackendServer {
	return {
		id, incarnation: 1, address: `10.0.0.${id.length}:1`, zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 4, release: 'v1', ...changes,
	};
}

/** Creates a route of service `s` at host `h`. */
export function testRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'r', hostname: 'h', pathPrefix: '/', repetition: repetition.idempotent, timeoutMs: 1000, targetLatencyMs: 1000, targetPauseMs: 0, priority: 1, services: [{service: 's', weight: 1}], maxAttempts: 3, isAnonymous: true, hasPromptParts: false, isResumable: false, models: [], ...changes,
	};
}

/** Creates a route table with the given routes of service `s`. */
export function testTable(routes: readonly Route[], customers?: readonly Customer[], maxConnections = 10): RouteTable {
	return new RouteTable({
		version: 1,
		routes,
		services: [{
			name: 's', healthPath: '/', maxConnections, slots: undefined, models: [],
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers,
	});
}

/** Parts of a forwarder that a test sets; the others do nothing. */
export type TestForwarderOptions = Pick<ForwardServices, 'clock' | 'lease' | 'pool' | 'port' | 'budget' | 'state'> & Partial<Pick<ForwardServices, 'cold' | 'held' | 'observer' | 'crashes' | 'reach' | 'peers' | 'peerPort' | 'counters' | 'confirmConfiguration' | 'configurationBoundMs' | 'logger' | 'speeds' | 'places'>> & {readonly random: RandomSource};

/** Creates a forwarder without sticky sessions. */
export function createTestForwarder({
	random, cold = unlimitedColdServers, held = new HeldBytes(), observer = nullReleaseObserver, crashes = nullCrashes, reach = nullReach, peers = new PeerHosts('self'), peerPort = new ScriptedPort(), counters = nullCounters, confirmConfiguration = () => undefined, configurationBoundMs = 2000, logger = nullLogger, speeds = new ModelSpeeds(), ...options
}: TestForwarderOptions): Forwarder {
	return new Forwarder({
		...options, held, observer, crashes, reach, peers, peerPort, counters, confirmConfiguration, configurationBoundMs, digests: testDigests, zone: 'z', logger, placement: new AffinityPlacement(random), cold, places: options.places ?? new PlaceQueue(options.clock), speeds, serverSpeeds: nullSpeedObserver, models: new LoadAwareCascade(60, 1), sessions: {recordRequest: () => undefined, isSticky: () => false}, random: () => random.next(),
	});
}

/** Parts of a fixture that a test replaces. */
export interface FixtureParts {
	readonly speeds?: ModelSpeeds;
	readonly places?: PlaceQueue;
	readonly createCold?: (clock: Clock) => ColdServers;
}

/** Creates a forwarder with one route, a manual clock and scripted backend servers. */
export function createForwarderFixture(kind: Repetition, changes: Partial<Route> = {}, servers: readonly BackendServer[] = [testBackend('a'), testBackend('bb'), testBackend('ccc')], {createCold = () => unlimitedColdServers, ...parts}: FixtureParts = {}) {
	const route = testRoute({
		hostname: 'h.example', pathPrefix: '/a/', repetition: kind, targetLatencyMs: 500, priority: 2, isAnonymous: false, isResumable: kind === repetition.stream, ...changes,
	});
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const pool = new ServerPool();
	pool.update(servers, clock.now());
	const port = new ScriptedPort();
	const lease = {
		expiresAt: 100_000, currentUntil: Infinity, isSuperseded: false, isValid: () => lease.expiresAt > clock.now(),
	};
	let table: RouteTable | undefined = testTable([route], [{name: 'shop', keys: ['key'], priority: 1}]);
	const rollouts = new Map<string, ServiceRollout>();
	/** Replaces the configuration; undefined when it cannot be read. */
	const replaceTable = (changed: RouteTable | undefined) => {
		table = changed;
	};

	/** Applies a configuration with further routes and keys. */
	const apply = (routes: ReadonlyArray<Partial<Route>>, keys: readonly string[] = []) => {
		table = testTable([route, ...routes.map(other => ({...route, ...other}))], [{name: 'shop', keys: ['key', ...keys], priority: 1}]);
	};

	/** Times at which the forwarder asked for a confirmation of the configuration. */
	const confirmationsAsked: number[] = [];
	const counters = new RecordingCounters();
	const logger = new RecordingLogger();
	const budget = new RetryBudget(0.5, 5);
	const quarantinedParts = new Set<string>();
	const quarantinedRequests = new Set<string>();
	const crashes: CrashObserver = {...nullCrashes};
	const peers = new PeerHosts('self');
	const peerPort = new ScriptedPort();
	const reach = {...nullReach};
	const forwarder = createTestForwarder({
		clock, lease, random, pool, port, crashes, counters, logger, peers, peerPort, reach, ...parts, cold: createCold(clock), confirmConfiguration: () => confirmationsAsked.push(clock.now()), budget: () => budget, state: () => ({
			table, rollouts, quarantinedParts, quarantinedRequests, hostCount: 1, hostIndex: 0,
		}),
	});
	const send = (req: Partial<ForwardRequest> = {}) => {
		const sink = new RecordingSink();
		forwarder.forward({
			id: 'q', hostname: 'h.example', path: '/a/x', key: 'key', deadlineMs: 2000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method: 'GET', target: '/a/x', headers: [], body: undefined,
			}, ...req,
		}, sink);
		return sink;
	};

	return {
		clock, pool, port, lease, forwarder, send, budget, quarantinedParts, quarantinedRequests, crashes, peers, peerPort, reach, apply, replaceTable, route, rollouts, confirmationsAsked, counters, logger,
	};
}
