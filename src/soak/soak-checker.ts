/** A promise that the soak watches. */
export const promise = {
	/** A request that must not be repeated runs once at most. */
	runsOnce: 'runs-once',
	/** A request that was refused as not run has not run and does not run later. */
	refusedIsNotRun: 'refused-is-not-run',
	/** A success is the whole answer of an engine to this request. */
	ownWholeAnswer: 'own-whole-answer',
	/** A stream has each event once and in order. */
	eventsInOrder: 'events-in-order',
	/** A removed key is not served after its time, an unknown one never. */
	keysInForce: 'keys-in-force',
	/** A configuration that was acknowledged is read back, and no older one. */
	configurationKept: 'configuration-kept',
	/** An engine whose drain was acknowledged gets no new request after its time. */
	drained: 'drained',
	/** A request that was read whole is answered although its host is stopped as planned. */
	answeredAtStop: 'answered-at-stop',
	/** After all faults requests are served again. */
	recovers: 'recovers',
} as const;

/** A value of `promise`. */
export type SoakPromise = typeof promise[keyof typeof promise];

/** Time in milliseconds after which a removed key is served nowhere; setting `RevokeMs` of the soak. */
export const revokeMs = 5000;
/** Time in milliseconds from an acknowledgement until reads may not give an older version. */
const applyMs = 2500;
/** Time in milliseconds from the acknowledgement of a drain until requests may no longer arrive. */
const drainMs = 2500;
/** Share of the requests that must be served after the faults. */
const servedShare = 0.95;

/** What a caller got for a request. */
export interface CallerOutcome {
	readonly id: string;
	readonly isRepeatable: boolean;
	/** Undefined when the connection ended without a complete answer. */
	readonly status: number | undefined;
	readonly body: string;
	/** Whether a backend server signed the answer. */
	readonly isSigned: boolean;
	readonly isStream: boolean;
	/** Whether the host was being stopped as planned, with nothing else disturbed, when it read the request. */
	readonly isAtPlannedStop: boolean;
	/** Whether all faults were over long enough when it was sent. */
	readonly isAfterFaults: boolean;
}

/** Events of a whole stream. */
export const streamLength = 6;

/** Complete body that an engine gives to a request. */
export function bodyOf(id: string, isStream: boolean): string {
	return isStream ? eventsOf(id, 1) : `answer to ${id}`;
}

/** Events of a stream from a number on. */
export function eventsOf(id: string, first: number): string {
	return Array.from({length: streamLength - first + 1}, (_, index) => `id: ${first + index}\ndata: ${id}\n\n`).join('');
}

/** Watches the promises from what callers, engines and operators saw. Times in milliseconds of one clock. */
export class SoakChecker {
	readonly violations: string[] = [];
	readonly counts = {
		requests: 0, answered: 0, refused: 0, runs: 0, changes: 0, drains: 0,
	};

	private readonly _runs = new Map<string, number>();
	private readonly _refused = new Set<string>();
	private readonly _once = new Set<string>();
	private readonly _keyOf = new Map<string, {key: string; sentAt: number}>();
	private readonly _removedAt = new Map<string, number>();
	private readonly _known = new Set<string>();
	private readonly _drainedAt = new Map<string, number>();
	private readonly _acks: Array<{version: number; at: number}> = [];
	private readonly _late = {asked: 0, served: 0};

	/** A caller is about to send a request. */
	sent(id: string, key: string, isRepeatable: boolean, at: number): void {
		this.counts.requests++;
		this._keyOf.set(id, {key, sentAt: at});
		if (!isRepeatable) {
			this._once.add(id);
		}
	}

	/** An engine began to work on a request. `isUndisturbed` tells whether entry hosts could have heard in time that the engine drains. */
	ran(server: string, id: string, at: number, isUndisturbed: boolean): void {
		this.counts.runs++;
		const runs = (this._runs.get(id) ?? 0) + 1;
		this._runs.set(id, runs);
		this._expect(promise.runsOnce, runs === 1 || !this._once.has(id), `${id} ran ${runs} times, now on ${server}`);
		this._expect(promise.refusedIsNotRun, !this._refused.has(id), `${id} was refused and runs on ${server}`);
		const {key, sentAt} = this._keyOf.get(id) ?? {key: 'unknown', sentAt: at};
		const removedAt = this._removedAt.get(key);
		this._expect(promise.keysInForce, this._known.has(key) && (removedAt === undefined || sentAt <= removedAt + revokeMs), `${id} runs with key ${key}, removed ${removedAt === undefined ? 'never' : `${sentAt - removedAt} ms before`}`);
		const drainedAt = this._drainedAt.get(server);
		this._expect(promise.drained, drainedAt === undefined || at <= drainedAt + drainMs || !isUndisturbed, `${id} runs on ${server}, ${at - (drainedAt ?? at)} ms after its drain`);
	}

	/** A request has ended for its caller. */
	ended(outcome: CallerOutcome): void {
		const {id, status, body, isSigned, isStream} = outcome;
		const isSuccess = status !== undefined && status >= 200 && status < 300;
		this.counts.answered += isSuccess ? 1 : 0;
		if (isSuccess) {
			const isWhole = body === bodyOf(id, isStream);
			this._expect(promise.ownWholeAnswer, isSigned && (isStream || isWhole), `${id} got ${JSON.stringify(body.slice(0, 60))}, signed: ${isSigned}`);
			this._expect(promise.eventsInOrder, !isStream || isWhole, `${id} got the events ${[...body.matchAll(/^id: (\d+)$/gmv)].map(([, event]) => event).join(' ')}`);
		} else if (status === 503 || status === 429) {
			this.counts.refused++;
			this._refused.add(id);
			this._expect(promise.refusedIsNotRun, !this._runs.has(id) || outcome.isRepeatable, `${id} ran and was refused with ${status}`);
		}

		this._expect(promise.answeredAtStop, !outcome.isAtPlannedStop || status !== undefined, `${id} got no answer from a host that was stopped as planned`);
		if (outcome.isAfterFaults) {
			this._late.asked++;
			this._late.served += isSuccess ? 1 : 0;
		}
	}

	/** An operator's configuration is about to be sent. */
	offered(keys: readonly string[]): void {
		for (const key of keys) {
			this._known.add(key);
		}
	}

	/** A configuration was acknowledged; `removed` are the keys that it took away. */
	acknowledged(version: number, removed: readonly string[], at: number): void {
		this.counts.changes++;
		this._acks.push({version, at});
		for (const key of removed) {
			this._removedAt.set(key, Math.min(at, this._removedAt.get(key) ?? at));
		}
	}

	/** A configuration was read back. */
	read(version: number, sentAt: number): void {
		const due = this._newestAck(sentAt - applyMs);
		this._expect(promise.configurationKept, version >= due, `version ${version} was read, ${due} is in force`);
	}

	/** An engine's drain was acknowledged. */
	drainAcknowledged(server: string, at: number): void {
		this.counts.drains++;
		this._drainedAt.set(server, at);
	}

	/** Judges what can only be told at the end. `version` was read back last; undefined when nothing could be read. */
	finish(version: number | undefined): void {
		const due = this._newestAck(Infinity);
		this._expect(promise.configurationKept, version !== undefined && version >= due, `version ${version ?? 'none'} was read at the end, ${due} was acknowledged`);
		const {asked, served} = this._late;
		this._expect(promise.recovers, asked > 0 && served >= asked * servedShare, `${served} of ${asked} requests were served after the faults`);
	}

	/** Highest version that was acknowledged before a time; 0 when there was none. */
	private _newestAck(before: number): number {
		return Math.max(0, ...this._acks.filter(({at}) => at < before).map(({version}) => version));
	}

	private _expect(name: SoakPromise, holds: boolean, text: string): void {
		if (!holds) {
			this.violations.push(`${name}: ${text}`);
		}
	}
}
