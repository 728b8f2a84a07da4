import {type SeededRandom} from '../common/base/seeded-random.js';
import {type ManualClock} from './manual-clock.js';
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

/** Number of requests that a simulated server runs concurrently. */
export const serverCapacity = 64;

/** Routes with the number of events of an answer and the share of the requests. */
export const simulatedRoutes = [{name: 'long', events: 40, share: 0.2}, {name: 'short', events: 6, share: 0.8}] as const;

/** Time to the first event and between events of an idle server in milliseconds; both grow with the requests in flight. */
const firstEventMs = 60;
const eventMs = 60;
/** Requests in flight that double these times. */
const doublingInFlight = 20;
/** Number of bad answers after which a release has to be reverted. */
const badAnswerLimit = 50;

const encoder = new TextEncoder();

/** Servers of an old and a new release that slow down with their load. The IDs of the new release begin with `new`. */
export class LoadedServers {
	readonly port = new ScriptedPort(attempt => {
		this._answer(attempt);
	});

	/** Attempts at the new release and at all servers. */
	exposed = 0;
	all = 0;
	private readonly _inFlight = new Map<string, number>();
	private _badAnswers = 0;
	private _limitReachedAt = Infinity;
	private _lastExposedAt = -Infinity;

	constructor(private readonly _clock: ManualClock, private readonly _random: SeededRandom, private readonly _fault: (answer: SimulatedAnswer) => AnswerFault) {}

	/** Time in milliseconds from the 50th bad answer to the last attempt at the new release; 0 without 50 bad answers. */
	get sinceBadMs(): number {
		return Math.max(0, this._lastExposedAt - this._limitReachedAt);
	}

	private _answer(attempt: ScriptedAttempt): void {
		const {serverId} = attempt.terms;
		const isNew = serverId.startsWith('new');
		const active = (this._inFlight.get(serverId) ?? 0) + 1;
		this._inFlight.set(serverId, active);
		this.all++;
		if (isNew) {
			this.exposed++;
			this._lastExposedAt = this._clock.now();
		}

		const {name: route, events} = simulatedRoutes.find(({name}) => attempt.message.target.startsWith(`/${name}/`))!;
		const fault = isNew
			? this._fault({
				route, load: active / serverCapacity, elapsedMs: this._clock.now(), random: this._random,
			})
			: {};
		this._clock.setTimer(this._delay(serverId, firstEventMs, fault), () => {
			if (fault.isFailed) {
				this._finish(serverId, fault);
				attempt.events.onHead(answerHead({status: 500, length: 0}));
				attempt.events.onEnd();
			} else {
				attempt.events.onHead(answerHead());
				this._sendEvent(attempt, fault, 1, events);
			}
		});
	}

	private _sendEvent(attempt: ScriptedAttempt, fault: AnswerFault, id: number, lastId: number): void {
		const {serverId} = attempt.terms;
		if (attempt.isAborted) {
			this._finish(serverId, fault);
			return;
		}

		attempt.events.onData(encoder.encode(`id: ${id}\ndata: ${'x'.repeat(20)}\n\n`));
		if (id === lastId) {
			this._finish(serverId, fault);
			attempt.events.onEnd();
			return;
		}

		this._clock.setTimer(this._delay(serverId, eventMs, fault), () => {
			this._sendEvent(attempt, fault, id + 1, lastId);
		});
	}

	/** Returns the time until the next part of an answer. */
	private _delay(serverId: string, idleMs: number, {slowdown = 1}: AnswerFault): number {
		return idleMs * slowdown * (1 + ((this._inFlight.get(serverId) ?? 0) / doublingInFlight)) * (0.5 + this._random.next());
	}

	private _finish(serverId: string, {isFailed, slowdown = 1}: AnswerFault): void {
		this._inFlight.set(serverId, this._inFlight.get(serverId)! - 1);
		if (isFailed === true || slowdown > 1) {
			this._badAnswers++;
			if (this._badAnswers === badAnswerLimit) {
				this._limitReachedAt = this._clock.now();
			}
		}
	}
}
