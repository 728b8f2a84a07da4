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
	ownRate: 100, ownBurst: 64, sharedRate: 100_000, sharedBurst: 2000, turn: 256,
};

/** Time in milliseconds that leaves the event loop to others between two turns. */
const minWaitMs = 1;
/** Time in milliseconds after which no further connection gets a turn before the event loop has served others. */
const maxResumeMs = 5;
/** Time in milliseconds for answers in one turn of the event loop, before timers and other connections come first. */
const loopTurnMs = 8;
/** Bytes that a connection may read when the time of the turn is used up; most answers without much content are shorter. */
const lateReadBytes = 4096;

/** Shares the processor time for answers in small chunks among connections. Each chunk costs the parser about as long as a kilobyte does. */
export class ReadPacer implements Disposable {
	private readonly _shared: TokenBucket;
	/** Waiting connections by the address of their peer, so that one with many connections gets no more turns than others. */
	private readonly _waiting = new Map<string, Set<ReadTurns>>();
	private _timer: Disposable | undefined;
	private readonly _onSlowed = new Emitter<string>();
	/** When the time for answers in the present turn of the event loop is used up. */
	private _loopTurnEndsAt: number | undefined;
	/** Connections that go on in the next turn of the event loop. */
	private readonly _late = new Set<ReadTurns>();
	private _immediate: NodeJS.Immediate | undefined;

	constructor(private readonly _clock: Clock, private readonly _rates = answerRates) {
		this._shared = new TokenBucket(_rates.sharedRate, _rates.sharedBurst, _clock.now());
	}

	/** Raised with the address of a peer once for each connection that is slowed down. */
	get onSlowed(): Event<string> {
		return this._onSlowed.event;
	}

	/** Begins to count the chunks of a connection to an address. `resume` is called when it may read again after `wait`. */
	open(address: string, resume: () => void): ReadTurns {
		return new ReadTurns(this._clock, new TokenBucket(this._rates.ownRate, this._rates.ownBurst, this._clock.now()), {
			available: () => this._waiting.size === 0 ? Math.min(this._rates.turn, this._shared.available(this._clock.now())) : 0,
			take: chunks => {
				this._shared.take(chunks, this._clock.now());
			},
			wait: turns => {
				const queue = this._waiting.get(address);
				if (queue) {
					queue.add(turns);
				} else {
					this._waiting.set(address, new Set([turns]));
				}

				this._schedule();
			},
			leave: turns => {
				const queue = this._waiting.get(address);
				if (queue?.delete(turns) && queue.size === 0) {
					this._waiting.delete(address);
				}

				this._late.delete(turns);
			},
			maxBytes: () => this._isLoopTurnOver() ? lateReadBytes : Number.POSITIVE_INFINITY,
			yieldLoop: turns => {
				this._late.add(turns);
			},
			report: () => {
				this._onSlowed.fire(address);
			},
		}, resume);
	}

	dispose(): void {
		this._timer?.dispose();
		this._waiting.clear();
		clearImmediate(this._immediate);
		this._late.clear();
	}

	private _isLoopTurnOver(): boolean {
		this._loopTurnEndsAt ??= this._clock.now() + loopTurnMs;
		this._immediate ??= setImmediate(() => {
			this._beginLoopTurn();
		});
		return this._clock.now() >= this._loopTurnEndsAt;
	}

	private _beginLoopTurn(): void {
		this._immediate = undefined;
		this._loopTurnEndsAt = undefined;
		// A connection that has more bytes is late again, behind the others.
		for (const turns of this._late) {
			if (this._isLoopTurnOver()) {
				break;
			}

			this._late.delete(turns);
			turns.resume(0);
		}

		// New bytes get a turn of their own.
		this._loopTurnEndsAt = undefined;
	}

	private _schedule(minDelayMs = minWaitMs): void {
		this._timer ??= this._clock.setTimer(Math.max(minDelayMs, this._shared.waitMs(this._rates.turn, this._clock.now())), () => {
			this._resumeWaiting();
		});
	}

	private _resumeWaiting(): void {
		const startedAt = this._clock.now();
		let elapsedMs = 0;
		try {
			// An address with more connections, and a connection with more chunks, waits again, behind the others and for the next time.
			const waiting = [...this._waiting];
			for (const [address, queue] of waiting) {
				// A part of a turn may be less than the cost of a line.
				if (this._shared.available(startedAt + elapsedMs) < this._rates.turn || elapsedMs >= maxResumeMs) {
					break;
				}

				const [turns] = queue;
				if (!turns) {
					// The last connection of the address has closed meanwhile.
					continue;
				}

				queue.delete(turns);
				this._waiting.delete(address);
				if (queue.size > 0) {
					this._waiting.set(address, queue);
				}

				turns.resume(this._rates.turn);
				elapsedMs = this._clock.now() - startedAt;
			}
		} finally {
			this._timer = undefined;
			if (this._waiting.size > 0) {
				// The bucket fills up again while chunks are processed, so it alone does not bound their share of the time.
				this._schedule(Math.max(minWaitMs, elapsedMs));
			}
		}
	}
}

/** What the connections of a pacer share. */
interface SharedReads {
	available(): number;
	take(chunks: number): void;
	wait(turns: ReadTurns): void;
	leave(turns: ReadTurns): void;
	report(): void;
	maxBytes(): number;
	yieldLoop(turns: ReadTurns): void;
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

	/** Number of bytes that may be read now, so that the event loop is not held. */
	get maxBytes(): number {
		return this._shared.maxBytes();
	}

	/** Waits for the next turn of the event loop. */
	yieldLoop(): void {
		this._isWaiting = true;
		this._shared.yieldLoop(this);
	}

	/** Counts chunks that were taken. */
	take(chunks: number): void {
		const own = Math.min(chunks, this._ownChunks);
		this._own.take(own, this._clock.now());
		this._shared.take(chunks - own);
		this._granted = Math.max(0, this._granted - (chunks - own));
	}

	/** Waits until the connection may take more chunks. */
	wait(): void {
		this._isWaiting = true;
		this._shared.wait(this);
		if (!this._isSlowed) {
			this._isSlowed = true;
			this._shared.report();
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
