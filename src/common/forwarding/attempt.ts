import {type AttemptHandle} from './backend-port.js';
import {EventSplitter} from './event-splitter.js';
import {type AnswerHead} from './forward-request.js';
import {type ServerRecord} from './server-pool.js';

/** Largest answer in bytes that is held until it is complete, so that a broken one can be asked again. */
const maxHeldBytes = 1024 * 1024;

/** One attempt at one backend server, with what has come of its answer. */
export class Attempt {
	handle: AttemptHandle | undefined;
	head: AnswerHead | undefined;
	readonly splitter = new EventSplitter();
	private readonly _held: Uint8Array[] = [];
	private _heldBytes = 0;
	private _isOver = false;

	constructor(readonly record: ServerRecord, readonly model: string | undefined, readonly sentAt: number) {
		record.inFlight++;
		record.health.started(sentAt);
	}

	/** Whether nothing more is expected of it. */
	get isOver(): boolean {
		return this._isOver;
	}

	/** Chunks of an answer that is held back until it is complete. */
	get held(): readonly Uint8Array[] {
		return this._held;
	}

	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Holds a chunk back. @returns whether the answer is still short enough to be held. */
	hold(chunk: Uint8Array): boolean {
		this._held.push(chunk);
		this._heldBytes += chunk.length;
		return this._heldBytes <= maxHeldBytes;
	}

	/** Notes that nothing more is expected. */
	release(): void {
		if (!this._isOver) {
			this._isOver = true;
			this.record.inFlight--;
		}
	}

	/** Gives the attempt up; its connection is closed, so that the backend server stops. */
	abandon(): void {
		this.release();
		this.handle?.abort();
	}

	/** What became of the attempt, for the log. */
	describe(outcome: string): string {
		return [this.record.server.id, this.model, outcome].filter(part => part !== undefined).join(':');
	}
}
