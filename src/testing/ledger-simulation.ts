import {sleep} from '../common/base/sleep.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {type BilledRequest} from '../common/ledger/billed-request.js';
import {LedgerClient} from '../common/ledger/ledger-client.js';
import {RequestIds} from '../common/ledger/request-ids.js';
import {RequestLedger} from '../common/ledger/request-ledger.js';
import {SessionPins} from '../common/ledger/session-pins.js';
import {nullCounters} from '../common/base/null-counters.js';
import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type TestLedgerGroup} from './test-ledger-group.js';

/** A request as a caller sends it. */
export interface CallerRequest {
	readonly customer: string;
	readonly idempotent: boolean;
	readonly key?: string;
	readonly body: string;
	readonly session?: string;
	/** Processing time at the backend server in milliseconds. */
	readonly workMs: number;
	/** `refused`: the backend server refuses the first attempt and runs the second one; `lost`: the connection breaks after the request was written. */
	readonly backendOutcome: 'answered' | 'refused' | 'lost';
}

/** What callers and backend servers observed, for the checks. */
export interface LedgerHistory {
	/** Requests that were answered completely. */
	readonly answered: string[];
	/** Runs at backend servers: one item for each written attempt that was not refused. */
	readonly runs: Array<{requestId: string; request: CallerRequest}>;
	/** Versions used by requests of sessions, with the highest applied log index at that time. */
	readonly uses: Array<{session: string; ref: string; logged: number}>;
	/** Withdrawn versions, with the highest applied log index at that time. */
	readonly withdrawals: Map<string, number>;
}

/** One process of an entry host. */
class EntryProcess {
	isAlive = true;
	readonly ids: RequestIds;
	readonly client: LedgerClient;
	readonly requests: RequestLedger;
	readonly pins: SessionPins;

	constructor(readonly host: string, readonly incarnation: number, {clock, network, voters}: TestLedgerGroup, random: RandomSource) {
		const transport = network.attach(host);
		const call: PeerTransport['call'] = async (...args) => this.isAlive ? transport.call(...args) : this._never();
		this.ids = new RequestIds(host, incarnation);
		this.client = new LedgerClient({
			transport: {...transport, call}, clock, random, counters: nullCounters, voters: () => voters,
		}, {entry: host, incarnation, lingerMs: 10});
		this.requests = new RequestLedger(this.client, clock);
		this.pins = new SessionPins(this.client, clock);
		this.requests.onPinReplaced(({session, ref}) => {
			this.pins.applyReplacement(session, ref);
		});
	}

	/** A process that has ended sends nothing and gets no reply. */
	private async _never<T>(): Promise<T> {
		return new Promise(() => {
			// Never settled.
		});
	}
}

/** Simulates entry hosts and their callers on one ledger group, under schedules of requests, crashes and lost messages. */
export class LedgerSimulation {
	readonly history: LedgerHistory = {
		answered: [], runs: [], uses: [], withdrawals: new Map(),
	};

	private readonly _entries = new Map<string, EntryProcess>();

	constructor(readonly group: TestLedgerGroup, private readonly _seed: number, private readonly _injectFault: (entry: EntryProcess) => void = () => undefined) {
		Object.assign(group.network.faults, {
			minDelayMs: 1, maxDelayMs: 12, lossRate: 0.05, duplicateRate: 0.05,
		});
		for (const host of ['e1', 'e2', 'e3']) {
			this.start(host, 1);
		}
	}

	/** Starts a process of an entry host. An earlier process ends, and the directory expires it. */
	start(host: string, incarnation = (this._entries.get(host)?.incarnation ?? 0) + 1): void {
		const earlier = this._entries.get(host);
		if (earlier) {
			this.crash(host);
			this.group.directory.expire(host, earlier.incarnation);
		}

		const random = new SeededRandom(this._seed).fork(`${host}/${incarnation}`);
		const entry = new EntryProcess(host, incarnation, this.group, random);
		this._injectFault(entry);
		this._entries.set(host, entry);
		this.group.directory.live.set(host, incarnation);
	}

	/** Ends the process of an entry host without notice. */
	crash(host: string): void {
		this._entries.get(host)!.isAlive = false;
	}

	/** Expires a process in the directory although it may still run. */
	expire(host: string): void {
		this.group.directory.expire(host, this._entries.get(host)!.incarnation);
	}

	/** Withdraws a version. */
	withdraw(ref: string): void {
		if (!this.history.withdrawals.has(ref)) {
			this.history.withdrawals.set(ref, this.group.observer.highestIndex);
		}
	}

	/** Sends a request to an entry host. */
	send(host: string, request: CallerRequest): void {
		void this._runIgnoringErrors(this._entries.get(host)!, request);
	}

	/** Ends all faults, replaces all processes and waits until their requests have settled. */
	async recover(): Promise<void> {
		const {network, clock} = this.group;
		network.heal();
		Object.assign(network.faults, {lossRate: 0, duplicateRate: 0});
		await this.group.recover();
		await clock.advance(12_000);
		for (const host of this._entries.keys()) {
			this.start(host);
		}

		await clock.advance(15_000);
	}

	private async _runIgnoringErrors(entry: EntryProcess, request: CallerRequest): Promise<void> {
		try {
			await this._run(entry, request);
		} catch {
			// The caller sees a refusal or a broken answer.
		}
	}

	private async _run(entry: EntryProcess, request: CallerRequest): Promise<void> {
		const {customer, session, key, idempotent, body} = request;
		if (session !== undefined) {
			await this._useSession(entry, customer, session);
		}

		const result = await entry.requests.begin({
			type: 'open', requestId: entry.ids.next(), customer, service: 'bookings', session, key, bodyHash: body, idempotent,
		});
		if (result.status === 'run' && entry.isAlive) {
			await this._attempt(entry, request, result.request);
		}
	}

	private async _useSession(entry: EntryProcess, customer: string, session: string): Promise<void> {
		const refs = ['v1', 'v2', 'v3', 'v4'].filter(ref => !this.history.withdrawals.has(ref));
		const key = {customer, service: 'bookings', session};
		const ref = await entry.pins.resolve(key, {
			refusal: candidate => this.history.withdrawals.has(candidate) ? 'withdrawn' : undefined,
			// Hosts prefer different versions, so that concurrent first requests of a session conflict.
			choose: () => refs[(entry.host.codePointAt(1)! + entry.incarnation) % refs.length]!,
		});
		if (entry.isAlive) {
			this.history.uses.push({session: `${customer}/${session}`, ref, logged: this.group.observer.highestIndex});
		}
	}

	private async _attempt(entry: EntryProcess, request: CallerRequest, billed: BilledRequest): Promise<void> {
		const {clock} = this.group;
		const isRefused = request.backendOutcome === 'refused';
		for (let attempt = 0; attempt < 2; attempt++) {
			const permit = billed.startAttempt();
			if (isRefused && attempt === 0) {
				permit.markNotWritten();
				continue;
			}

			this.history.runs.push({requestId: billed.requestId, request});
			// eslint-disable-next-line no-await-in-loop -- attempts run one after another
			await sleep(clock, request.workMs);
			if (!entry.isAlive) {
				return;
			}

			if (request.backendOutcome !== 'lost' || (attempt === 1 && request.idempotent)) {
				break;
			}

			if (!request.idempotent) {
				// Simulates a caller of the ledger that retries anyway; the ledger must refuse the permit.
				this._retryUnsafely(billed, request);
				// eslint-disable-next-line no-await-in-loop -- the request ends here
				await billed.finish({outcome: 'unknown', cost: 0, attempts: []});
				return;
			}
		}

		await billed.finish({
			outcome: 'answered', cost: 1, attempts: [], answer: `answer to ${request.body}`,
		});
		if (entry.isAlive) {
			this.history.answered.push(billed.requestId);
		}
	}

	private _retryUnsafely(billed: BilledRequest, request: CallerRequest): void {
		try {
			billed.startAttempt();
			this.history.runs.push({requestId: billed.requestId, request});
		} catch {
			// The ledger refused the permit, as expected.
		}
	}
}
