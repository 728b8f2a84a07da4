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
import {type EmulatedBackends} from './emulated-backends.js';
import {type SimulatedHost} from './simulated-host.js';
import {type Operation} from './operation.js';
import {type CallerTry, type RunHistory} from './run-history.js';

/** Dependencies of `SimulatedCaller`. */
export interface SimulatedCallerOptions {
	readonly clock: ManualClock;
	readonly random: RandomSource;
	readonly hosts: readonly SimulatedHost[];
	readonly backends: EmulatedBackends;
	readonly history: RunHistory;
}

/** Share of tries that go to a random entry host instead of one from the list. */
const anyHostShare = 0.2;
/** Maximum number of tries of an operation. */
const maxTries = 4;
/** Time in milliseconds after which a caller stops waiting for an answer. */
const callerTimeoutMs = 10_000;

/** Callers that choose entry hosts from the list that the hosts publish, and retry where that is safe. */
export class SimulatedCaller {
	private _entryList: readonly string[] = [];
	private _entryListExpiresAt = 0;
	private _inProgress = 0;

	constructor(private readonly _options: SimulatedCallerOptions) {}

	/** Number of unfinished operations. */
	get inProgress(): number {
		return this._inProgress;
	}

	/** Runs an operation until it is answered or may not be retried. */
	async run(operation: Operation): Promise<void> {
		this._inProgress++;
		for (let index = 0; index < maxTries; index++) {
			// eslint-disable-next-line no-await-in-loop -- tries run one after another
			const result = await this._try(operation, this._pickHost());
			if (result.outcome === 'answered') {
				break;
			}

			// An operation that is neither idempotent nor keyed is not retried if it may have run.
			if (!operation.idempotent && operation.key === undefined && result.ran !== 'no') {
				break;
			}

			// eslint-disable-next-line no-await-in-loop -- pause between tries
			await sleep(this._options.clock, 200 + (this._options.random.next() * 800));
		}

		this._inProgress--;
	}

	private _pickHost(): SimulatedHost {
		const {clock, hosts, random} = this._options;
		if (clock.now() >= this._entryListExpiresAt) {
			const source = hosts.find(({isUp}) => isUp);
			const reply = source?.host?.control.entryList.for('caller', 'zone-1');
			if (reply && reply.entries.length > 0) {
				this._entryList = reply.entries.map(({host}) => host);
				this._entryListExpiresAt = clock.now() + (reply.keepSeconds * 1000);
			}
		}

		// Some callers use a stale list or none.
		const names = this._entryList.length > 0 && random.next() > anyHostShare ? this._entryList : hosts.map(({name}) => name);
		const name = names[random.integer(names.length)]!;
		return hosts.find(host => host.name === name) ?? hosts[0]!;
	}

	private async _try(operation: Operation, host: SimulatedHost): Promise<CallerTry> {
		const {clock, history} = this._options;
		const {services} = host;
		const requestId = host.host?.entry.ids.next();
		const record: CallerTry = {
			operation: operation.id, requestId, host: host.name, idempotent: operation.idempotent, session: operation.session, at: clock.now(), outcome: 'broken', ran: undefined, ref: undefined, text: '', finishedAt: 0,
		};
		history.tries.push(record);
		if (!services || requestId === undefined) {
			record.outcome = 'refused-connection';
			record.ran = 'no';
			return record;
		}

		const {starts} = host;
		host.activeRequests++;
		const isSameProcess = () => host.isUp && host.starts === starts;
		const observed = {...record};
		const work = operation.kind === 'chat' ? this._chat(operation, services, requestId, observed) : this._callPlain(operation, services, requestId, host, observed);
		await Promise.race([work, this._untilDisconnected(isSameProcess)]);
		if (isSameProcess()) {
			host.activeRequests--;
			// Nothing that a process sends after its crash reaches the caller.
			Object.assign(record, observed);
		}

		record.finishedAt = clock.now();
		return record;
	}

	private async _untilDisconnected(isSameProcess: () => boolean): Promise<void> {
		const {clock} = this._options;
		const end = clock.now() + callerTimeoutMs;
		while (isSameProcess() && clock.now() < end) {
			// eslint-disable-next-line no-await-in-loop -- polls the connection
			await sleep(clock, 50);
		}
	}

	private async _chat(operation: Operation, services: EntryServices, requestId: string, observed: CallerTry): Promise<void> {
		const document = services.view.documents.get('summaries')?.document;
		if (!document) {
			Object.assign(observed, {outcome: 'unknown-key', ran: 'no'});
			return;
		}

		const sink: AnswerSink = {
			start({ref}) {
				observed.ref = ref;
			},
			async write({delta}) {
				observed.text += delta.content as string;
			},
			end() {
				observed.outcome = 'answered';
			},
		};
		const prompt = `Handle ${operation.id}`;
		await this._recordOutcome(observed, async () => new RequestRunner(services, {
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

	private async _callPlain(operation: Operation, services: EntryServices, requestId: string, host: SimulatedHost, observed: CallerTry): Promise<void> {
		const document = services.view.documents.get('bookings')?.document;
		if (!document) {
			Object.assign(observed, {outcome: 'unknown-key', ran: 'no'});
			return;
		}

		const deadlineAt = services.clock.now() + document.limits.deadlineMs;
		const deadline = new DeadlineSignal(services.clock, deadlineAt, new AbortController().signal);
		const {backends} = this._options;
		await this._recordOutcome(observed, async () => new PlainRequest(services, {
			requestId, customer: document.customers[0]!, document, urgency: 'normal', key: operation.key, bodyHash: operation.id, idempotent: operation.idempotent, deadlineAt,
		}).run({
			async send(server) {
				try {
					await backends.callPlain(host.name, server, {operation: operation.id, requestId});
				} catch (error) {
					throw new RefusalError('backend-failed', 'The backend server gave no answer.', {status: 502, ran: (error as EngineError).ran, cause: error});
				}
			},
			async forward() {
				observed.text = operation.id;
			},
			end() {
				observed.outcome = 'answered';
			},
		}, deadline, new AbortController().signal));
		deadline.dispose();
	}

	private async _recordOutcome(observed: CallerTry, work: () => Promise<void>): Promise<void> {
		try {
			await work();
		} catch (error) {
			if (observed.outcome !== 'answered') {
				observed.outcome = error instanceof RefusalError ? error.code : 'broken';
				observed.ran = error instanceof RefusalError ? error.ran : undefined;
			}
		}
	}
}
