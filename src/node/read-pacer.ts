import {TokenBucket} from '../common/admission/token-bucket.js';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';

/** Rates at which connections may use the processor, in units of the cost of a small chunk. */
export interface ReadRates {
	/** Units a second, and at once, that a connection takes whatever the others take: those of a stream of events. */
	readonly ownRate: number;
	readonly ownBurst: number;
	/** Units a second, and at once, that all connections take beyond their own. */
	readonly sharedRate: number;
	readonly sharedBurst: number;
	/** Units that a connection takes before the next one in the queue; at least the highest cost of a line, at most `sharedBurst`. */
	readonly turn: number;
}

/** Rates of the answers of servers: a chunk of one byte costs about 4 µs. */
const answerRates: ReadRates = {
	ownRate: 100, ownBurst: 64, sharedRate: 40_000, sharedBurst: 2000, turn: 256,
};

/** Shares the processor time for answers in small chunks among connections. Each chunk costs the parser about as long as a kilobyte does. */
export class ReadPacer implements Disposable {
	private readonly _shared: TokenBucket;
	private readonly _waiting = new Set<ReadTurns>();
	private _timer: Disposable | undefined;
	private readonly _onSlowed = new Emitter<string>();

	constructor(private readonly _clock: Clock, private readonly _rates = answerRates) {
		this._shared = new TokenBucket(_rates.sharedRate, _rates.sharedBurst, _clock.now());
	}

	/** Raised with the address of a peer once for each connection that is slowed down. */
	get onSlowed(): Event<string> {
		return this._onSlowed.event;
	}

	/** Begins to count the chunks of a connection. `resume` is called when it may read again after `wait`. */
	open(resume: () => void): ReadTurns {
		return new ReadTurns(this._clock, new TokenBucket(this._rates.ownRate, this._rates.ownBurst, this._clock.now()), {
			available: () => this._waiting.size === 0 ? Math.min(this._rates.turn, this._shared.available(this._clock.now())) : 0,
			take: chunks => {
				this._shared.take(chunks, this._clock.now());
			},
			wait: turns => {
				this._waiting.add(turns);
				this._schedule();
			},
			leave: turns => {
				this._waiting.delete(turns);
			},
			report: address => {
				this._onSlowed.fire(address);
			},
		}, resume);
	}

	dispose(): void {
		this._timer?.dispose();
		this._waiting.clear();
	}

	private _schedule(): void {
		this._timer ??= this._clock.setTimer(this._shared.waitMs(this._rates.turn, this._clock.now()), () => {
			this._timer = undefined;
			this._resumeWaiting();
		});
	}

	private _resumeWaiting(): void {
		// A connection that has more chunks waits again, behind the others.
		for (const turns of this._waiting) {
			if (this._shared.available(this._clock.now()) < this._rates.turn) {
				break;
			}

			this._waiting.delete(turns);
			turns.resume(this._rates.turn);
		}

		if (this._waiting.size > 0) {
			this._schedule();
		}
	}
}

/** What the connections of a pacer share. */
interface SharedReads {
	available(): number;
	take(chunks: number): void;
	wait(turns: ReadTurns): void;
	leave(turns: ReadTurns): void;
	report(address: string): void;
}

/** The chunks of one connection. */
export class ReadTurns implements Disposable {
	/** Shared chunks that this connection may take in its present turn. */
	private _granted = 0;
	private _isWaiting = false;
	private _isSlowed = false;

	constructor(private readonly _clock: Clock, private readonly _own: TokenBucket, private readonly _shared: SharedReads, private readonly _resume: () => void) {}

	/** Whether the connection may not read. */
	get isWaiting(): boolean {
		return this._isWaiting;
	}

	/** Number of chunks that may be taken now. */
	get available(): number {
		return Math.floor(this._ownChunks + Math.max(this._granted, this._shared.available()));
	}

	/** Counts chunks that were taken. */
	take(chunks: number): void {
		const own = Math.min(chunks, this._ownChunks);
		this._own.take(own, this._clock.now());
		this._shared.take(chunks - own);
		this._granted = Math.max(0, this._granted - (chunks - own));
	}

	/** Waits until the connection may take more chunks of the peer. */
	wait(address: string): void {
		this._isWaiting = true;
		this._shared.wait(this);
		if (!this._isSlowed) {
			this._isSlowed = true;
			this._shared.report(address);
		}
	}

	/** Lets the connection read, with some of the shared chunks. */
	resume(granted: number): void {
		this._isWaiting = false;
		this._granted = granted;
		this._resume();
		this._granted = 0;
	}

	dispose(): void {
		this._shared.leave(this);
	}

	private get _ownChunks(): number {
		return Math.max(0, Math.floor(this._own.available(this._clock.now())));
	}
}
