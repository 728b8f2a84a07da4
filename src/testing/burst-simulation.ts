import {SeededRandom} from '../common/base/seeded-random.js';
import {LoadAwareCascade} from '../common/forwarding/load-aware-cascade.js';
import {ModelSpeeds} from '../common/forwarding/model-speeds.js';
import {type Route} from '../common/forwarding/routing-config.js';
import {SimulationTime} from './engine-queue.js';
import {type EngineJob, SharedEngine} from './shared-engine.js';

/** Hosts that see only their own requests, and a burst of them. */
export interface Burst {
	readonly seed: number;
	readonly hosts: number;
	/** Requests a second of each host before and after the burst. */
	readonly perHost: number;
	/** Factor on the requests during the burst. */
	readonly factor: number;
	/** Share of the engines' time that the usual requests take if every doubtful answer is escalated. */
	readonly utilization: number;
	/** Option of `ModelSpeeds`. */
	readonly followsLoad: boolean;
}

/** Requests that arrived in one second. */
export interface BurstSecond {
	requests: number;
	escalated: number;
	late: number;
	/** Expected time in milliseconds to the first event of the largest model, summed over the decisions. */
	expectedMs: number;
	/** Time in milliseconds to the first event of the small model, summed over the requests. */
	smallMs: number;
	/** Sum of the load indexes at the decisions. */
	index: number;
}

/** Times of the burst and the end of the play in seconds. */
export const burstFrom = 20;
export const burstTo = 25;
export const playEnd = 40;

const engineCount = 12;
const fullSpeed = 8;
const slots = 64;
const threshold = 55;
const timeoutMs = 8000;
const route = {
	name: 'r', models: ['small', 'large'], targetLatencyMs: 1500, priority: 0,
} as unknown as Route;
/** Work for the first event and for the output of the small model, and the factor of the large model. */
const work = {firstEvent: 0.4, output: 0.6, largeFactor: 10} as const;
/** Share of answers of which the small model is doubtful: half are good, and the confidence of these is higher. */
const doubtfulShare = (0.5 * (0.55 / 0.65)) + (0.5 * (0.2 / 0.65));

/** Plays a calm period, a burst and another calm period. @returns the figures for each second. */
export function playBurst({seed, hosts, perHost, factor, utilization, followsLoad}: Burst): BurstSecond[] {
	const random = new SeededRandom(seed);
	const time = new SimulationTime();
	const cascade = new LoadAwareCascade(threshold, 1);
	const engines = Array.from({length: engineCount}, () => new SharedEngine(time, fullSpeed, slots));
	const speeds = Array.from({length: hosts}, () => new ModelSpeeds(followsLoad));
	const seconds: BurstSecond[] = Array.from({length: playEnd}, () => ({
		requests: 0, escalated: 0, late: 0, expectedMs: 0, smallMs: 0, index: 0,
	}));
	const perSecond = hosts * perHost;
	const unitMs = utilization * engineCount * fullSpeed * 1000 / perSecond / (1 + (doubtfulShare * work.largeFactor));
	const pick = () => engines[random.integer(engines.length)]!;

	const arrive = () => {
		const startedAt = time.now;
		const second = seconds[Math.floor(startedAt / 1000)]!;
		const speed = speeds[random.integer(hosts)]!;
		const size = Math.exp(0.8 * normal(random)) / Math.exp(0.32);
		const generation = {
			model: undefined, inputTokens: 4000 * size, maxOutputTokens: 100, expectedOutputTokens: 100, parts: [],
		};
		const confidence = 100 * ((random.next() < 0.5 ? 0.35 : 0) + (0.65 * random.next()));
		second.requests++;
		const finish = () => {
			second.late += time.now - startedAt > route.targetLatencyMs ? 1 : 0;
		};

		const ask = (model: string, priority: number, onFirstEvent: () => void, onEnd: () => void) => {
			const unit = unitMs * (model === 'large' ? work.largeFactor : 1);
			const engine = pick();
			const sentAt = time.now;
			let beganAt = 0;
			const recordFirstEvent = () => {
				speed.of('s', model).recordFirstEvent(generation, time.now - sentAt, time.now);
			};

			const job: EngineJob = {
				firstEventMs: unit * work.firstEvent * size,
				outputMs: unit * work.output,
				priority,
				onFirstEvent() {
					beganAt = time.now;
					recordFirstEvent();
					onFirstEvent();
				},
				onEnd() {
					speed.of('s', model).recordEnd(generation, time.now - beganAt, time.now);
					onEnd();
				},
			};
			engine.run(job);
			return () => {
				recordFirstEvent();
				engine.cancel(job);
			};
		};

		ask('small', 0, () => {
			const elapsedMs = time.now - startedAt;
			const expected = speed.of('s', 'large').expected(generation, time.now);
			second.smallMs += elapsedMs;
			second.expectedMs += expected.firstEventMs;
			const context = {
				route, generation, elapsedMs, remainingMs: timeoutMs - elapsedMs,
			};
			if (cascade.larger(context, 'small', confidence) === undefined || !cascade.escalates(context, confidence, expected)) {
				finish();
				return;
			}

			second.escalated++;
			let isDecided = false;
			const cancel = ask('large', 3, () => {
				isDecided = true;
				finish();
			}, () => undefined);
			time.at(startedAt + (2 * route.targetLatencyMs), () => {
				if (!isDecided) {
					cancel();
					finish();
				}
			});
		}, () => undefined);
		scheduleArrival();
	};

	const scheduleArrival = () => {
		const isBurst = time.now >= burstFrom * 1000 && time.now < burstTo * 1000;
		const next = time.now - (Math.log(1 - random.next()) * 1000 / perSecond / (isBurst ? factor : 1));
		if (next < playEnd * 1000) {
			time.at(next, arrive);
		}
	};

	scheduleArrival();
	time.run();
	return seconds;
}

function normal(random: SeededRandom): number {
	return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
