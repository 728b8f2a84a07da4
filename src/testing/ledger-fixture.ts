import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type EntryDirectory, type EntryIncarnation} from '../common/ledger/entry-directory.js';
import {LedgerClient, type LedgerClientOptions} from '../common/ledger/ledger-client.js';
import {type LedgerCommand} from '../common/ledger/ledger-command.js';
import {defaultLedgerLimits, type LedgerLimits} from '../common/ledger/ledger-limits.js';
import {type LedgerReply} from '../common/ledger/ledger-reply.js';
import {LedgerService} from '../common/ledger/ledger-service.js';
import {LedgerState} from '../common/ledger/ledger-state.js';
import {ManualClock} from './manual-clock.js';
import {MemoryNetwork} from './memory-network.js';
import {DelayedLog} from './delayed-log.js';
import {LedgerObserver} from './ledger-observer.js';
import {type TestLedgerGroup} from './test-ledger-group.js';

/** Directory of entry hosts that is set by the test and shared by all voters. */
export class TestDirectory implements EntryDirectory {
	readonly live = new Map<string, number>();
	isUpToDate = true;
	private readonly _expired = new Set<string>();
	private readonly _onRemoved = new Emitter<EntryIncarnation>();

	get onRemoved(): Event<EntryIncarnation> {
		return this._onRemoved.event;
	}

	status({entry, incarnation}: EntryIncarnation): 'live' | 'removed' | 'absent' {
		if (this._expired.has(`${entry}/${incarnation}`)) {
			return 'removed';
		}

		return this.live.get(entry) === incarnation ? 'live' : 'absent';
	}

	isCurrent(): boolean {
		return this.isUpToDate;
	}

	/** Expires an incarnation and notifies the voters. */
	expire(entry: string, incarnation: number): void {
		this.live.delete(entry);
		this._expired.add(`${entry}/${incarnation}`);
		this._onRemoved.fire({entry, incarnation});
	}
}

/** One ledger group of three voters over an in-memory network, with clients on entry hosts. */
export class LedgerFixture implements TestLedgerGroup {
	readonly voters = ['v1', 'v2', 'v3'];
	readonly clock = new ManualClock();
	readonly network: MemoryNetwork;
	readonly log: DelayedLog<LedgerCommand, LedgerReply>;
	readonly directory = new TestDirectory();
	readonly observer = new LedgerObserver();
	readonly states = new Map<string, LedgerState>();
	private readonly _random: SeededRandom;

	constructor(seed: number, limits: LedgerLimits = defaultLedgerLimits) {
		this._random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this._random.fork('network'));
		this.log = new DelayedLog(this.clock);
		for (const host of this.voters) {
			const state = new LedgerState(limits);
			this.states.set(host, state);
			// eslint-disable-next-line no-new -- lives as long as the fixture
			new LedgerService({
				log: this.log.join(host, this.observer.watch(state)), state, directory: this.directory, clock: this.clock, counters: nullCounters,
				logger: nullLogger, transport: this.network.attach(host), group: 0,
			});
		}

		this.log.elect('v1');
	}

	async recover(): Promise<void> {
		this.log.elect('v1');
	}

	/** State of the first voter; all voters apply each entry at the same time. */
	get state(): LedgerState {
		return this.states.get('v1')!;
	}

	/** Registers an entry host in the directory and creates its ledger client. */
	client(entry: string, incarnation = 1, options: Partial<LedgerClientOptions> = {}): LedgerClient {
		this.directory.live.set(entry, incarnation);
		return new LedgerClient({
			transport: this.network.attach(entry), clock: this.clock, random: this._random.fork(entry), counters: nullCounters, voters: () => this.voters,
		}, {entry, incarnation, ...options});
	}

	/** Advances the clock until a call settles. @throws what the call throws. */
	async waitFor<T>(call: Promise<T>, limitMs = 60_000): Promise<T> {
		let isDone = false;
		const settle = async () => {
			try {
				return await call;
			} finally {
				isDone = true;
			}
		};

		const settled = settle();
		// Marks a rejection as handled; the caller gets it from the return value.
		void Promise.allSettled([settled]);
		if (!await this.clock.advanceUntil(() => isDone, limitMs, 1)) {
			throw new Error(`not settled within ${limitMs} ms`);
		}

		return settled;
	}
}
