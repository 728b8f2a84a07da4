import {ExpiryIndex} from './expiry-index.js';
import {Fifo} from './fifo.js';
import {type Bill} from './ledger.js';
import {type LedgerLimits} from './ledger-limits.js';
import {packKey, unpackKey} from './packed-key.js';
import {scopedId} from './scoped-id.js';

/** Owner of an idempotency key while its request runs. */
export interface RunningKey {
	readonly requestId: string;
	readonly bodyHash: string;
}

/** Owner of an idempotency key and, once its request is closed, the bill. */
export interface KeyEntry extends RunningKey {
	/** Without attempts and answer; absent while the request runs. */
	readonly bill?: Bill;
	/** Absent when none was recorded, or when it was dropped, before the key, because all answers exceeded their limit. */
	readonly answer?: string;
}

/** Idempotency keys of all customers, with recorded answers. Closed keys are packed into strings, a third of the size of objects. */
export class KeyTable {
	private readonly _keys = new Map<string, RunningKey | string>();
	private readonly _answers = new Map<string, string>();
	private readonly _expiry = new ExpiryIndex();
	/** Ids of the keys with a recorded answer, in order of their close. */
	private readonly _answerOrder = new Fifo<string>();
	private _answerLength = 0;

	constructor(private readonly _limits: LedgerLimits) {}

	get size(): number {
		return this._keys.size;
	}

	get isFull(): boolean {
		return this._keys.size >= this._limits.maxKeys;
	}

	get(customer: string, key: string): KeyEntry | undefined {
		const id = scopedId(customer, key);
		const stored = this._keys.get(id);
		return typeof stored === 'string' ? {...unpackKey(stored, customer), answer: this._answers.get(id)} : stored;
	}

	claim(customer: string, key: string, owner: RunningKey): void {
		this._keys.set(scopedId(customer, key), owner);
	}

	/** Frees the key if the running request owns it. */
	release(customer: string, key: string, requestId: string): void {
		const id = scopedId(customer, key);
		if (this._runningOwner(id, requestId)) {
			this._keys.delete(id);
		}
	}

	/** Records the bill, which contains no answer, if its request still owns the key. */
	recordBill(bill: Bill, key: string, answer: string | undefined, at: number): void {
		const id = scopedId(bill.customer, key);
		const owner = this._runningOwner(id, bill.requestId);
		if (!owner) {
			return;
		}

		this._keys.set(id, packKey(bill, owner.bodyHash, at));
		this._expiry.move(id, undefined, at);
		if (answer !== undefined) {
			this._answers.set(id, answer);
			this._answerLength += answer.length;
			this._answerOrder.push(id);
			this._dropOldAnswers();
		}
	}

	/** Recorded answer of a bill, unless it was dropped. */
	answerOf(bill: Bill, key: string): string | undefined {
		const entry = this.get(bill.customer, key);
		return entry?.requestId === bill.requestId ? entry.answer : undefined;
	}

	/** Removes keys that were closed before the time. */
	expire(before: number): void {
		for (const id of this._expiry.takeBefore(before)) {
			this._keys.delete(id);
			this._dropAnswer(id);
		}

		// Keys expire in order of their close, so the expired ones are at the front of the queue.
		while (this._answerOrder.size > 0 && !this._answers.has(this._answerOrder.first!)) {
			this._answerOrder.shift();
		}
	}

	snapshot(): unknown {
		return {keys: [...this._keys], answers: [...this._answerOrder].map(id => [id, this._answers.get(id)])};
	}

	restore(snapshot: unknown): void {
		const {keys, answers} = snapshot as {keys: Array<[string, RunningKey | string]>; answers: Array<[string, string]>};
		this._keys.clear();
		this._answers.clear();
		this._expiry.clear();
		this._answerLength = 0;
		for (const [id, stored] of keys) {
			this._keys.set(id, stored);
			if (typeof stored === 'string') {
				this._expiry.move(id, undefined, unpackKey(stored, '').closedAt);
			}
		}

		this._answerOrder.reset(answers.map(([id]) => id));
		for (const [id, answer] of answers) {
			this._answers.set(id, answer);
			this._answerLength += answer.length;
		}
	}

	private _runningOwner(id: string, requestId: string): RunningKey | undefined {
		const stored = this._keys.get(id);
		return typeof stored === 'object' && stored.requestId === requestId ? stored : undefined;
	}

	private _dropOldAnswers(): void {
		while (this._answerLength > this._limits.maxAnswerLength) {
			this._dropAnswer(this._answerOrder.shift()!);
		}
	}

	private _dropAnswer(id: string): void {
		this._answerLength -= this._answers.get(id)?.length ?? 0;
		this._answers.delete(id);
	}
}
