import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type ControlCommand} from '../common/control/control-command.js';
import {type ControlLeadership} from '../common/control/control-leadership.js';
import {type ControlResult} from '../common/control/control-result.js';
import {minRenewIntervalMs} from '../common/control/control-times.js';
import {ControlState} from '../common/control/control-state.js';
import {serviceRolloutState, type ServiceRolloutState} from '../common/control/service-rollout.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {repetition, type Route} from '../common/forwarding/routing-config.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {ReleaseRecorder} from '../common/release/release-recorder.js';
import {ReleaseSupervisor} from '../common/release/release-supervisor.js';
import {
	createTestForwarder, endlessLease, testBackend, testRoute, testTable,
} from './forwarder-fixture.js';
import {
	type AnswerFault, LoadedServers, serverCapacity, type SimulatedAnswer, simulatedRoutes,
} from './loaded-servers.js';
import {LocalLog} from './local-log.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';

/** A roll-out that is played. */
export interface SimulatedRollout {
	readonly seed: number;
	readonly fault: (answer: SimulatedAnswer) => AnswerFault;
	/** Factor on the request rate. */
	readonly rateFactor?: number;
	/** Factor on the request rate by the time in milliseconds since the start. */
	readonly rateAt?: (elapsedMs: number) => number;
	/** Time in milliseconds since the start at which another host becomes the leader. */
	readonly leaderChangeAt?: number;
	/** Share of the renewals whose reply is lost. */
	readonly lostShare?: number;
	/** Maximum length of the part of a renewal. */
	readonly maxPartLength?: number;
}

/** Result of a played roll-out. */
export interface RolloutOutcome {
	readonly state: ServiceRolloutState;
	/** Attempts at the new release and at all servers, from the start of the roll-out to the end of its duration. */
	readonly exposed: number;
	readonly all: number;
	/** Time in milliseconds from the 50th bad answer to the last attempt at the new release; 0 without 50 bad answers. */
	readonly sinceBadMs: number;
}

const durationMs = 24_000;
const serversPerRelease = 6;
const hostCount = 3;
const requestsPerSecond = 60;
const renewalMs = 1000;

function routeOf(name: string): Route {
	return testRoute({
		name, pathPrefix: `/${name}/`, repetition: repetition.stream, timeoutMs: 25_000, targetLatencyMs: 1500, targetPauseMs: 800, isResumable: true,
	});
}

/** Plays a roll-out with real forwarders, recorders and a supervisor against servers that slow down with their load. */
export async function playRollout({
	seed, fault, rateFactor = 1, rateAt = () => 1, leaderChangeAt, lostShare = 0, maxPartLength,
}: SimulatedRollout): Promise<RolloutOutcome> {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('a', state);
	const createSupervisor = () => new ReleaseSupervisor({
		log, state, clock, logger: nullLogger, leadership: {period: {}} as unknown as ControlLeadership, exposureLimit: {share: 0.15, slack: 30},
	});
	let supervisor = createSupervisor();
	const servers = ['old', 'new'].flatMap(release => Array.from({length: serversPerRelease}, (_, index) => testBackend(`${release}-${index}`, {address: `${release}-${index}:1`, capacity: serverCapacity, release})));
	for (const server of servers) {
		await log.propose({type: 'backend-joined', server, at: 0}); // eslint-disable-line no-await-in-loop -- one after another
	}

	const loaded = new LoadedServers(clock, random, fault);
	const table = testTable(simulatedRoutes.map(({name}) => routeOf(name)), undefined, 370);
	const hosts = Array.from({length: hostCount}, (_, hostIndex) => {
		const pool = new ServerPool();
		pool.update(servers, clock.now());
		const recorder = new ReleaseRecorder(service => {
			const rollout = state.serviceRollouts.get(service);
			return rollout?.state === serviceRolloutState.inProgress ? rollout.revision : undefined;
		}, maxPartLength);
		const budget = new RetryBudget(0.5, 4);
		const forwarder = createTestForwarder({
			clock, lease: endlessLease, random, pool, port: loaded.port, budget: () => budget, observer: recorder, state: () => ({
				table, rollouts: state.serviceRollouts, quarantinedParts: new Map(), quarantinedRequests: new Map(), hostCount, hostIndex,
			}),
		});
		return {forwarder, recorder};
	});
	await log.propose({
		type: 'start-service-rollout', service: 's', target: 'new', durationMs, at: clock.wallTime(),
	});

	let term = 1;
	const losses = random.fork('losses');
	const renew = (index: number) => {
		const {recorder} = hosts[index]!;
		const part = recorder.collect(term);
		if (part) {
			supervisor.receive({host: `e${index}`, incarnation: 1}, part);
		}

		let intervalMs = renewalMs;
		const backlog = recorder.onBacklog(() => {
			intervalMs = minRenewIntervalMs;
		});
		if (losses.next() >= lostShare) {
			recorder.acknowledge(term);
		}

		backlog.dispose();
		clock.setTimer(intervalMs, () => {
			renew(index);
		});
	};

	for (const index of hosts.keys()) {
		clock.setTimer(renewalMs * index / hostCount, () => {
			renew(index);
		});
	}

	let sent = 0;
	const arrive = () => {
		const {name} = random.next() < simulatedRoutes[0].share ? simulatedRoutes[0] : simulatedRoutes[1];
		const id = `q${sent++}`;
		hosts[random.integer(hostCount)]!.forwarder.forward({
			id, hostname: 'h', path: `/${name}/x`, key: undefined, deadlineMs: 25_000, session: id, generation: undefined, resumeAfter: undefined, message: {
				method: 'POST', target: `/${name}/x`, headers: [], body: undefined,
			},
		}, new RecordingSink());
		clock.setTimer(-Math.log(1 - random.next()) * 1000 / (requestsPerSecond * rateFactor * rateAt(clock.now())), arrive);
	};

	arrive();
	if (leaderChangeAt !== undefined) {
		clock.setTimer(leaderChangeAt, () => {
			supervisor.dispose();
			supervisor = createSupervisor();
			term++;
		});
	}

	await clock.advance(durationMs);
	supervisor.dispose();
	const {exposed, all, sinceBadMs} = loaded;
	return {
		state: state.serviceRollouts.get('s')!.state, exposed, all, sinceBadMs,
	};
}
