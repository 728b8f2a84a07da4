import {SeededRandom} from '../common/base/seeded-random.js';
import {LoadAwareCascade} from '../common/forwarding/load-aware-cascade.js';
import {ModelSpeeds} from '../common/forwarding/model-speeds.js';
import {type Route} from '../common/forwarding/routing-config.js';
import {SimulationTime} from './engine-queue.js';
import {SharedEngine} from './shared-engine.js';

/** Hosts that see only their own requests, and a burst of them. */
export interface Burst {
	readonly hosts: number;
	/** Requests a second of each host before and after the burst. */
	readonly perHost: number;
	/** Factor on the requests during the burst. */
	readonly factor: number;
	/** Share of the engines' time that the usual requests take if every doubtful answer is escalated. */
	readonly utilization: number;
}

/** What became of a request. */
export interface BurstRequest {
	/** Time of its arrival in seconds. */
	readonly second: number;
	isEscalated: boolean;
	/** Time in milliseconds to the first event of the small model, and the expected one of the largest model. */
	smallMs: number;
	expectedMs: number;
	/** Time in milliseconds to the first event that the caller gets. */
	latencyMs: number;
}

/** Times of the burst and of the end of the play in seconds. */
export const burstFrom = 20;
export const burstTo = 25;
const playTo = 40;

export const targetMs = 1500;
const timeoutMs = 8000;
const route = {models: ['small', 'large'], targetLatencyMs: targetMs, priority: 0} as unknown as Route;
const engineCount = 12;
/** Tasks that an engine runs at full speed, and its slots. */
const fullSpeed = 8;
const slots = 64;
/** Parts of the small model's work, and the large model's work relative to it. */
const work = {firstEvent: 0.4, output: 0.6, largeFactor: 10} as const;
/** Share of the small model's answers with a confidence below the threshold of 55. */
const doubtfulShare = 0.58;

/** Plays a calm period, a burst and another calm period. */
export function playBurst({hosts, perHost, factor, utilization}: Burst, followsLoad: boolean, seed: number): BurstRequest[] {
	const random = new SeededRandom(seed);
	const normal = () => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
	const time = new SimulationTime();
	const cascade = new LoadAwareCascade(55, 1);
	const engines = Array.from({length: engineCount}, () => new SharedEngine(time, fullSpeed, slots));
	const speeds = Array.from({length: hosts}, () => new ModelSpeeds(followsLoad));
	const perSecond = hosts * perHost;
	const workMs = utilization * engineCount * fullSpeed * 1000 / perSecond / (1 + (doubtfulShare * work.largeFactor));
	const requests: BurstRequest[] = [];

	const arrive = () => {
		const startedAt = time.now;
		const req: BurstRequest = {
			second: startedAt / 1000, isEscalated: false, smallMs: 0, expectedMs: 0, latencyMs: 0,
		};
		requests.push(req);
		const speed = speeds[random.integer(hosts)]!;
		const size = Math.exp((0.8 * normal()) - 0.32);
		const generation = {
			model: undefined, inputTokens: 4000 * size, maxOutputTokens: 100, expectedOutputTokens: 100, parts: [],
		};
		const confidence = 100 * ((random.next() < 0.5 ? 0.35 : 0) + (0.65 * random.next()));
		/** Asks a model. @returns a function that aborts it before its first event. */
		const ask = (model: string, factorOfWork: number, priority: number, onFirstEvent: () => void) => {
			const engine = engines[random.integer(engineCount)]!;
			const sentAt = time.now;
			const load = model === 'small' ? speed.load('s') : undefined;
			const recordFirstEvent = () => {
				speed.of('s', model).recordFirstEvent(generation, time.now - sentAt, time.now);
				load?.recordFirstEvent(model, generation, time.now - sentAt, time.now);
			};

			const cancel = engine.run(workMs * factorOfWork * work.firstEvent * size, priority, () => {
				const beganAt = time.now;
				recordFirstEvent();
				engine.run(workMs * factorOfWork * work.output, -1, () => {
					speed.of('s', model).recordEnd(generation, time.now - beganAt, time.now);
					load?.recordEnd(model, generation, time.now - beganAt, time.now);
				});
				onFirstEvent();
			});
			return () => {
				recordFirstEvent();
				cancel();
			};
		};

		const finish = () => {
			req.latencyMs = time.now - startedAt;
		};

		ask('small', 1, 0, () => {
			finish();
			const expected = speed.of('s', 'large').expected(generation, time.now);
			req.smallMs = req.latencyMs;
			req.expectedMs = expected.firstEventMs;
			const context = {
				route, generation, elapsedMs: req.smallMs, remainingMs: timeoutMs - req.smallMs,
			};
			req.isEscalated = cascade.larger(context, 'small', confidence) !== undefined && cascade.escalates(context, confidence, expected);
			if (req.isEscalated) {
				req.latencyMs = 0;
				const cancel = ask('large', work.largeFactor, 3, finish);
				time.at(startedAt + (2 * targetMs), () => {
					if (req.latencyMs === 0) {
						cancel();
						finish();
					}
				});
			}
		});
		scheduleArrival();
	};

	const scheduleArrival = () => {
		const isBurst = time.now >= burstFrom * 1000 && time.now < burstTo * 1000;
		const next = time.now - (Math.log(1 - random.next()) * 1000 / perSecond / (isBurst ? factor : 1));
		if (next < playTo * 1000) {
			time.at(next, arrive);
		}
	};

	scheduleArrival();
	time.run();
	return requests;
}
