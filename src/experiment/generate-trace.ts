import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type Scenario, type ScenarioClass, type ScenarioVersion} from './scenario.js';
import {
	type Trace, type TraceAnswer, type TraceEngine, type TraceEvent, type TraceRequest,
} from './trace.js';

const customerCount = 10;

type Session = {id: string; customer: number; class: ScenarioClass; difficulty: number; requestsLeft: number; prefixes: number[]};

type AnswerContext = {requestClass: string; difficulty: number; at: number; outputTokens: number};

/** Generates the traffic of a scenario; equal seeds give equal traces. */
export class TraceGenerator {
	private readonly _random: RandomSource;
	private readonly _answers: RandomSource;
	private readonly _endMs: number;
	private readonly _sessions: Session[] = [];
	/** Offset of each customer's difficulty. */
	private readonly _offsets: number[];

	constructor(private readonly _scenario: Scenario, private readonly _seed: number) {
		const root = new SeededRandom(_seed);
		this._random = root.fork('traffic');
		this._answers = root.fork('answers');
		this._endMs = _scenario.hours * 3_600_000;
		this._offsets = Array.from({length: customerCount}, () => 0.25 * normal(this._random));
	}

	generate(): Trace {
		const scenario = this._scenario;
		const {rollout} = scenario;
		return {
			header: {
				type: 'trace', format: 1, name: scenario.name, seed: this._seed, service: scenario.service,
				qualityTarget: scenario.qualityTarget, qualityConfidence: 0.95, ratingsPerSecond: scenario.ratingsPerSecond,
				versions: scenario.versions.map(({ref, inputCost, outputCost, replaces}) => ({
					ref, inputCost, outputCost, replaces,
				})),
				engines: this._engines(),
				rollout: {
					at: rollout.at * this._endMs, from: rollout.from, to: rollout.to, steps: [1, 5, 25, 50, 100], stepSeconds: 600, minRated: 20,
				},
				bad: [{ref: rollout.to, requestClass: rollout.badClass, from: rollout.badFrom * this._endMs}],
			},
			requests: this._requests(),
			events: this._events(),
			expectations: [],
		};
	}

	private _requests(): TraceRequest[] {
		const requests: TraceRequest[] = [];
		let at = 0;
		let burst: {customer: number; until: number} | undefined;
		for (;;) {
			const rate = this._scenario.requestsPerSecond * (1 + (0.4 * Math.sin(2 * Math.PI * at / this._endMs))) * (burst ? 2.5 : 1);
			at += -1000 * Math.log(1 - this._random.next()) / rate;
			if (at >= this._endMs) {
				return requests;
			}

			if (burst && at > burst.until) {
				burst = undefined;
			} else if (!burst && this._random.next() < 1 / 3000) {
				burst = {customer: this._customer(), until: at + 120_000 + (this._random.next() * 240_000)};
			}

			const customer = burst && this._random.next() < 0.6 ? burst.customer : this._customer();
			requests.push(this._request(Math.round(at), requests.length, customer));
		}
	}

	private _request(at: number, index: number, customer: number): TraceRequest {
		const session = this._session(customer);
		const requestClass = session?.class ?? this._class();
		const difficulty = (session?.difficulty ?? this._difficulty(requestClass, customer)) + (session ? 0.5 * normal(this._random) : 0);
		const size = Math.exp(0.4 * normal(this._random));
		const outputTokens = Math.max(8, Math.round(requestClass.outputTokens * Math.exp(0.3 * normal(this._random))));
		const prefixes = session?.prefixes ?? [this._random.integer(2 ** 31)];
		const answers: Record<string, TraceAnswer> = {};
		for (const version of this._scenario.versions) {
			answers[version.ref] = this._answer(version, {
				requestClass: requestClass.name, difficulty, at, outputTokens,
			});
		}

		const urgency = pick(this._scenario.urgencyShares, this._random);
		return {
			type: 'request', at, id: `r${index}`, customer: `customer-${customer}`, session: session?.id, requestClass: requestClass.name,
			urgency, deadlineMs: urgency === 'urgent' ? 20_000 : 60_000, inputTokens: Math.max(16, Math.round(requestClass.inputTokens * size)), maxTokens: 1024, prefixes, answers,
		};
	}

	private _answer(version: ScenarioVersion, {requestClass, difficulty, at, outputTokens}: AnswerContext): TraceAnswer {
		const {rollout, confidenceNoise, ratingSlope, ratingDelayMs, missingRatings} = this._scenario;
		const random = this._answers;
		const bad = version.ref === rollout.to && requestClass === rollout.badClass && at >= rollout.badFrom * this._endMs;
		const margin = version.skill - difficulty + (0.3 * normal(random));
		const empty = random.next() < 0.003;
		// A bad version gives worse answers with unchanged confidence.
		const quality = logistic(ratingSlope * (margin - (bad ? rollout.lostSkill : 0))) + (0.06 * normal(random));
		const confidence = 0.4 + (0.6 * logistic((1.3 * margin) + (confidenceNoise * normal(random))));
		const lateFactor = random.next() < 0.05 ? 20 : 1;
		const delay = ratingDelayMs * lateFactor * Math.exp(0.5 * normal(random));
		return {
			result: empty ? 'empty' : 'answered', rating: empty ? 0 : round(Math.min(1, Math.max(0, quality))), confidence: empty ? 0 : round(confidence),
			outputTokens: empty ? 0 : Math.round(outputTokens * version.verbosity), ratingDelayMs: random.next() < missingRatings ? undefined : Math.round(delay),
		};
	}

	private _session(customer: number): Session | undefined {
		if (this._random.next() >= this._scenario.sessionShare) {
			return undefined;
		}

		const open = this._sessions.filter(session => session.customer === customer);
		if (open.length > 2 || (open.length > 0 && this._random.next() < 0.7)) {
			const session = open[this._random.integer(open.length)]!;
			session.requestsLeft--;
			session.prefixes = [...session.prefixes, this._random.integer(2 ** 31)];
			if (session.requestsLeft === 0) {
				this._sessions.splice(this._sessions.indexOf(session), 1);
			}

			return session;
		}

		const requestClass = this._class();
		const session: Session = {
			id: `s${this._random.integer(2 ** 31)}`, customer, class: requestClass, difficulty: this._difficulty(requestClass, customer),
			requestsLeft: 3 + this._random.integer(6), prefixes: [customer, this._random.integer(2 ** 31)],
		};
		this._sessions.push(session);
		return session;
	}

	private _customer(): number {
		// Zipf-like distribution: the three largest of ten customers send more than 60 % of the requests.
		const weights = Array.from({length: customerCount}, (_, index) => [index, 1 / (index + 1)] as const);
		return pick(weights, this._random);
	}

	private _class(): ScenarioClass {
		return pick(this._scenario.classes.map(entry => [entry, entry.share] as const), this._random);
	}

	private _difficulty(requestClass: ScenarioClass, customer: number): number {
		return requestClass.difficulty + this._offsets[customer]! + normal(this._random);
	}

	private _engines(): TraceEngine[] {
		return this._scenario.versions.filter(({engines}) => engines > 0).flatMap(version => Array.from({length: version.engines}, (_, index) => ({
			id: `${version.ref}-${index}`, zone: `zone-${index % 3}`,
			ref: [version.ref, ...this._scenario.versions.filter(({replaces}) => replaces === version.ref).map(({ref}) => ref)],
			slots: 24, prefillRate: version.prefillRate, tokenMs: version.tokenMs, prefixCapacity: 2000,
		})));
	}

	private _events(): TraceEvent[] {
		const engines = this._engines();
		const events: TraceEvent[] = [];
		for (let count = 0; count < 3; count++) {
			const at = this._random.next() * this._endMs;
			const engine = engines[this._random.integer(engines.length)]!.id;
			events.push({
				type: 'event', at, event: 'engine-failed', engine,
			}, {
				type: 'event', at: at + 600_000, event: 'engine-recovered', engine,
			});
		}

		const down = (0.4 + (0.1 * this._random.next())) * this._endMs;
		events.push({type: 'event', at: down, event: 'ratings-down'}, {type: 'event', at: down + 300_000, event: 'ratings-up'});
		return events.toSorted((a, b) => a.at - b.at);
	}
}

function logistic(value: number): number {
	return 1 / (1 + Math.exp(-value));
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}

function normal(random: RandomSource): number {
	return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function pick<Value>(weighted: ReadonlyArray<readonly [Value, number]>, random: RandomSource): Value {
	let remaining = random.next() * weighted.reduce((total, [, weight]) => total + weight, 0);
	for (const [value, weight] of weighted) {
		remaining -= weight;
		if (remaining < 0) {
			return value;
		}
	}

	return weighted.at(-1)![0];
}
