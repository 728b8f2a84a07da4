import {type RandomSource} from '../common/base/random-source.js';
import {sleep} from '../common/base/sleep.js';
import {type AnswerSink} from '../common/entry/answer-sink.js';
import {DeadlineSignal} from '../common/entry/deadline-signal.js';
import {type EngineError} from '../common/entry/engine-error.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {PlainRequest} from '../common/entry/plain-request.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {RequestRunner} from '../common/entry/request-runner.js';
import {type ManualClock} from '../testing/manual-clock.js';
import {type BackendFarm} from './backend-farm.js';
import {type FaultHost} from './fault-host.js';
import {type Operation} from './operation.js';
import {type CallerTry, type WorldLog} from './world-log.js';

/** What callers work with. */
export interface FaultCallerOptions {
	readonly clock: ManualClock;
	readonly random: RandomSource;
	readonly hosts: readonly FaultHost[];
	readonly farm: BackendFarm;
	readonly log: WorldLog;
}

/** Share of tries that go to any entry host, whatever the list says. */
const strayShare = 0.2;
/** Tries of an operation at most. */
const maxTries = 4;
/** Time in milliseconds for which a caller waits for an answer. */
const patienceMs = 10_000;

/** Callers that choose entry hosts by the list they were given and try again where that is allowed. */
export class FaultCaller {
	private _list: readonly string[] = [];
	private _listEndsAt = 0;
	private _inProgress = 0;

	constructor(private readonly _options: FaultCallerOptions) {}

	/** Operations that are not finished. */
	get inProgress(): number {
		return this._inProgress;
	}

	/** Runs an operation to its end. */
	async run(operation: Operation): Promise<void> {
		this._inProgress++;
		for (let index = 0; index < maxTries; index++) {
			// eslint-disable-next-line no-await-in-loop -- one try after another
			const entry = await this._try(operation, this._pick());
			if (entry.outcome === 'answered') {
				break;
			}

			// A try without key that may have run is not repeated when it must not run twice.
			if (!operation.idempotent && operation.key === undefined && entry.ran !== 'no') {
				break;
			}

			// eslint-disable-next-line no-await-in-loop -- pause between tries
			await sleep(this._options.clock, 200 + (this._options.random.next() * 800));
		}

		this._inProgress--;
	}

	private _pick(): FaultHost {
		const {clock, hosts, random} = this._options;
		if (clock.now() >= this._listEndsAt) {
			const teller = hosts.find(({isUp}) => isUp);
			const reply = teller?.host?.control.entryList.for('caller', 'zone-1');
			if (reply && reply.entries.length > 0) {
				this._list = reply.entries.map(({host}) => host);
				this._listEndsAt = clock.now() + (reply.keepSeconds * 1000);
			}
		}

		// Some callers have an old list, or none.
		const names = this._list.length > 0 && random.next() > strayShare ? this._list : hosts.map(({name}) => name);
		const name = names[random.integer(names.length)]!;
		return hosts.find(host => host.name === name) ?? hosts[0]!;
	}

	private async _try(operation: Operation, host: FaultHost): Promise<CallerTry> {
		const {clock, log} = this._options;
		const {services} = host;
		const requestId = host.host?.entry.ids.next();
		const entry: CallerTry = {
			operation: operation.id, requestId, host: host.name, idempotent: operation.idempotent, session: operation.session, at: clock.now(), outcome: 'broken', ran: undefined, ref: undefined, text: '', finishedAt: 0,
		};
		log.tries.push(entry);
		if (!services || requestId === undefined) {
			entry.outcome = 'refused-connection';
			entry.ran = 'no';
			return entry;
		}

		const {starts} = host;
		host.activeRequests++;
		const isSame = () => host.isUp && host.starts === starts;
		const seen = {...entry};
		const work = operation.kind === 'chat' ? this._chat(operation, services, requestId, seen) : this._book(operation, services, requestId, host, seen);
		await Promise.race([work, this._untilGone(isSame)]);
		if (isSame()) {
			host.activeRequests--;
			// What a process did after its crash never reached the caller.
			Object.assign(entry, seen);
		}

		entry.finishedAt = clock.now();
		return entry;
	}

	private async _untilGone(isSame: () => boolean): Promise<void> {
		const {clock} = this._options;
		const end = clock.now() + patienceMs;
		while (isSame() && clock.now() < end) {
			// eslint-disable-next-line no-await-in-loop -- watches the connection
			await sleep(clock, 50);
		}
	}

	private async _chat(operation: Operation, services: EntryServices, requestId: string, seen: CallerTry): Promise<void> {
		const document = services.view.documents.get('summaries')?.document;
		if (!document) {
			Object.assign(seen, {outcome: 'unknown-key', ran: 'no'});
			return;
		}

		const sink: AnswerSink = {
			start({ref}) {
				seen.ref = ref;
			},
			async write({delta}) {
				seen.text += delta.content as string;
			},
			end() {
				seen.outcome = 'answered';
			},
		};
		const prompt = `Handle ${operation.id}`;
		await this._settle(seen, async () => new RequestRunner(services, {
			requestId,
			customer: document.customers[0]!,
			document,
			requestClass: 'short',
			urgency: 'normal',
			session: operation.session,
			key: operation.key,
			bodyHash: operation.id,
			idempotent: operation.idempotent,
			deadlineAt: services.clock.now() + document.limits.deadlineMs,
			body: {model: 'summaries', messages: [{role: 'user', content: prompt}]},
			prompt,
			inputTokens: 10,
			maxTokens: 20,
		}, sink).run(new AbortController().signal));
	}

	private async _book(operation: Operation, services: EntryServices, requestId: string, host: FaultHost, seen: CallerTry): Promise<void> {
		const document = services.view.documents.get('bookings')?.document;
		if (!document) {
			Object.assign(seen, {outcome: 'unknown-key', ran: 'no'});
			return;
		}

		const deadlineAt = services.clock.now() + document.limits.deadlineMs;
		const deadline = new DeadlineSignal(services.clock, deadlineAt, new AbortController().signal);
		const {farm} = this._options;
		await this._settle(seen, async () => new PlainRequest(services, {
			requestId, customer: document.customers[0]!, document, urgency: 'normal', key: operation.key, bodyHash: operation.id, idempotent: operation.idempotent, deadlineAt,
		}).run({
			async send(server) {
				try {
					await farm.callPlain(host.name, server, {operation: operation.id, requestId});
				} catch (error) {
					throw new RefusalError('backend-failed', 'The backend server gave no answer.', {status: 502, ran: (error as EngineError).ran, cause: error});
				}
			},
			async forward() {
				seen.text = operation.id;
			},
			end() {
				seen.outcome = 'answered';
			},
		}, deadline, new AbortController().signal));
		deadline.dispose();
	}

	private async _settle(seen: CallerTry, work: () => Promise<void>): Promise<void> {
		try {
			await work();
		} catch (error) {
			if (seen.outcome !== 'answered') {
				seen.outcome = error instanceof RefusalError ? error.code : 'broken';
				seen.ran = error instanceof RefusalError ? error.ran : undefined;
			}
		}
	}
}
