import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type ControlCommand} from '../common/control/control-command.js';
import {type ControlLeadership} from '../common/control/control-leadership.js';
import {type ControlResult} from '../common/control/control-result.js';
import {ControlState} from '../common/control/control-state.js';
import {serviceRolloutState, type ServiceRolloutState} from '../common/control/service-rollout.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {RouteTable} from '../common/forwarding/route-table.js';
import {repetition, type Route} from '../common/forwarding/routing-config.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {ReleaseRecorder} from '../common/release/release-recorder.js';
import {ReleaseSupervisor} from '../common/release/release-supervisor.js';
import {createTestForwarder} from './forwarder-fixture.js';
import {LocalLog} from './local-log.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';
import {answerHead, type ScriptedAttempt, ScriptedPort} from './scripted-port.js';

/** What is wrong with one answer of a release. */
export interface AnswerFault {
	readonly isFailed?: boolean;
	/** Factor on the time to the first event and between events. */
	readonly slowdown?: number;
}

/** The answer that a simulated server is about to give. */
export interface SimulatedAnswer {
	readonly route: string;
	/** Requests in flight at the server, including this one, relative to its capacity. */
	readonly load: number;
	/** Time in milliseconds since the start of the roll-out. */
	readonly elapsedMs: number;
	readonly random: SeededRandom;
}

/** A roll-out that is played. */
export interface SimulatedRollout {
	readonly seed: number;
	readonly fault: (answer: SimulatedAnswer) => AnswerFault;
	/** Factor on the request rate. */
	readonly rateFactor?: number;
	/** Time in milliseconds since the start at which another host becomes the leader. */
	readonly leaderChangeAt?: number;
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
const capacity = 64;
const requestsPerSecond = 60;
const renewalMs = 1000;
/** Time to the first event and between events of an idle server in milliseconds; both grow with the requests in flight. */
const firstEventMs = 60;
const eventMs = 60;
/** Requests in flight that double these times. */
const doublingInFlight = 20;
/** Number of bad answers after which a release has to be reverted. */
const badAnswerLimit = 50;

/** Routes with the number of events of an answer and the share of the requests. */
const routes = [{name: 'long', events: 40, share: 0.2}, {name: 'short', events: 6, share: 0.8}] as const;
const encoder = new TextEncoder();

function routeOf(name: string): Route {
	return {
		name, hostname: 'h', pathPrefix: `/${name}/`, repetition: repetition.stream, timeoutMs: 25_000, targetLatencyMs: 1500, targetPauseMs: 800, priority: 1, services: [{service: 's', weight: 1}], maxAttempts: 3, isAnonymous: true, hasPromptParts: false, isResumable: true, models: [],
	};
}

function backend(id: string, release: string): BackendServer {
	return {
		id, incarnation: 1, address: `${id}:1`, zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity, release,
	};
}

/** Plays a roll-out with real forwarders, recorders and a supervisor against servers that slow down with their load. */
export async function playRollout({seed, fault, rateFactor = 1, leaderChangeAt}: SimulatedRollout): Promise<RolloutOutcome> {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const state = new ControlState();
	const log = new LocalLog<ControlCommand, ControlResult>('a', state);
	const createSupervisor = () => new ReleaseSupervisor({
		log, state, clock, logger: nullLogger, leadership: {period: {}} as unknown as ControlLeadership, exposureLimit: {share: 0.15, slack: 30},
	});
	let supervisor = createSupervisor();
	const servers = ['old', 'new'].flatMap(release => Array.from({length: serversPerRelease}, (_, index) => backend(`${release}-${index}`, release)));
	for (const server of servers) {
		await log.propose({type: 'backend-joined', server, at: 0}); // eslint-disable-line no-await-in-loop -- one after another
	}

	const counts = {exposed: 0, all: 0};
	const badAt: number[] = [];
	let lastExposedAt = 0;
	const inFlight = new Map<string, number>();
	const answer = (attempt: ScriptedAttempt) => {
		const {serverId} = attempt.terms;
		const isNew = serverId.startsWith('new');
		const active = (inFlight.get(serverId) ?? 0) + 1;
		inFlight.set(serverId, active);
		if (clock.now() <= durationMs) {
			counts.all++;
			counts.exposed += isNew ? 1 : 0;
		}

		lastExposedAt = isNew ? clock.now() : lastExposedAt;
		const route = routes.find(({name}) => attempt.message.target.startsWith(`/${name}/`))!;
		const {isFailed, slowdown = 1} = isNew
			? fault({
				route: route.name, load: active / capacity, elapsedMs: clock.now(), random,
			})
			: {};
		const isBad = isFailed === true || slowdown > 1;
		const delay = (ms: number) => ms * slowdown * (1 + ((inFlight.get(serverId) ?? 0) / doublingInFlight)) * (0.5 + random.next());
		const finish = () => {
			inFlight.set(serverId, inFlight.get(serverId)! - 1);
			if (isBad) {
				badAt.push(clock.now());
			}
		};

		const sendEvent = (id: number) => {
			if (attempt.isAborted) {
				finish();
				return;
			}

			attempt.events.onData(encoder.encode(`id: ${id}\ndata: ${'x'.repeat(20)}\n\n`));
			if (id === route.events) {
				finish();
				attempt.events.onEnd();
			} else {
				clock.setTimer(delay(eventMs), () => {
					sendEvent(id + 1);
				});
			}
		};

		clock.setTimer(delay(firstEventMs), () => {
			if (isFailed) {
				finish();
				attempt.events.onHead(answerHead({status: 500, length: 0}));
				attempt.events.onEnd();
			} else {
				attempt.events.onHead(answerHead());
				sendEvent(1);
			}
		});
	};

	const table = new RouteTable({
		version: 1,
		routes: routes.map(({name}) => routeOf(name)),
		services: [{
			name: 's', healthPath: '/', maxConnections: 370, slots: capacity, models: [],
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers: undefined,
	});
	const hosts = Array.from({length: hostCount}, (_, hostIndex) => {
		const pool = new ServerPool();
		pool.update(servers);
		const recorder = new ReleaseRecorder(service => {
			const rollout = state.serviceRollouts.get(service);
			return rollout?.state === serviceRolloutState.inProgress ? rollout.revision : undefined;
		});
		const budget = new RetryBudget(0.5, 4);
		const forwarder = createTestForwarder({
			clock, lease: {expiresAt: Infinity, isValid: () => true}, random, pool, port: new ScriptedPort(answer), budget: () => budget, observer: recorder, state: () => ({
				table, rollouts: state.serviceRollouts, hostCount, hostIndex,
			}),
		});
		return {forwarder, recorder};
	});
	await log.propose({
		type: 'start-service-rollout', service: 's', target: 'new', durationMs, at: clock.wallTime(),
	});

	const renew = (index: number) => {
		const part = hosts[index]!.recorder.collect();
		if (part) {
			supervisor.receive({host: `e${index}`, incarnation: 1}, part);
		}

		clock.setTimer(renewalMs, () => {
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
		const at = random.next();
		const {name} = at < routes[0].share ? routes[0] : routes[1];
		const id = `q${sent++}`;
		hosts[random.integer(hostCount)]!.forwarder.forward({
			id, hostname: 'h', path: `/${name}/x`, key: undefined, deadlineMs: 25_000, session: id, generation: undefined, resumeAfter: undefined, message: {
				method: 'POST', target: `/${name}/x`, headers: [], body: undefined,
			},
		}, new RecordingSink());
		clock.setTimer(-Math.log(1 - random.next()) * 1000 / (requestsPerSecond * rateFactor), arrive);
	};

	arrive();
	if (leaderChangeAt !== undefined) {
		clock.setTimer(leaderChangeAt, () => {
			supervisor.dispose();
			supervisor = createSupervisor();
		});
	}

	await clock.advance(durationMs);
	supervisor.dispose();
	const limitReachedAt = badAt.sort((left, right) => left - right)[badAnswerLimit - 1];
	return {state: state.serviceRollouts.get('s')!.state, ...counts, sinceBadMs: limitReachedAt === undefined ? 0 : Math.max(0, lastExposedAt - limitReachedAt)};
}
