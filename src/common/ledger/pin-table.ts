import {type VersionRef} from '../documents/version-ref.js';
import {ExpiryIndex} from './expiry-index.js';
import {Fifo} from './fifo.js';
import {type PinRecord, type SessionKey} from './ledger-record.js';
import {type LedgerLimits} from './ledger-limits.js';
import {scopedId} from './scoped-id.js';

/** Pinned version of a session. Pins are immutable and interned, because most sessions last used within the same ten minutes have equal pins. */
export interface Pin {
	readonly ref: VersionRef;
	/** Time of the last use, rounded down to ten minutes. The retention time starts here. */
	readonly usedAt: number;
	/** Number of times the version was replaced. */
	readonly changes: number;
}

/** Replacement of a pinned version, with its cause. */
export interface PinChange extends SessionKey {
	readonly from: VersionRef;
	readonly to: VersionRef;
	readonly cause: string;
	/** Unix milliseconds. */
	readonly at: number;
}

/** Step in milliseconds to which the time of the last use is rounded; equal to the bucket width of `ExpiryIndex`. */
const usedAtStepMs = 600_000;
/** Maximum number of interned pins. */
const maxInterned = 1000;

/** Session pins: the first writer wins, a replacement is a compare-and-set, and unused pins expire. */
export class PinTable {
	private readonly _pins = new Map<string, Pin>();
	private readonly _expiry = new ExpiryIndex();
	private readonly _changes = new Fifo<PinChange>();
	/** Interned pins by number of changes and version, each for the latest ten minutes in which it was used. */
	private readonly _interned = new Map<string, Pin>();

	constructor(private readonly _limits: LedgerLimits) {}

	get size(): number {
		return this._pins.size;
	}

	/** The latest replacements, oldest first. */
	get changes(): Iterable<PinChange> {
		return this._changes;
	}

	get(key: SessionKey): Readonly<Pin> | undefined {
		return this._pins.get(idOf(key));
	}

	/** Sets the pin if there is none, or if its version is the one to be replaced. @returns the version in force; undefined when the table is full. */
	set(record: PinRecord, at: number): VersionRef | undefined {
		const id = idOf(record);
		const pin = this._pins.get(id);
		if (!pin) {
			return this._add(id, record.ref, at);
		}

		const isReplaced = record.replaces === pin.ref && record.ref !== pin.ref;
		if (isReplaced) {
			const {customer, service, session, ref, cause} = record;
			this._changes.pushBounded({
				customer, service, session, from: pin.ref, to: ref, cause: cause!, at,
			}, this._limits.maxHistory);
		}

		return this._put(id, pin, isReplaced ? {ref: record.ref, changes: pin.changes + 1} : pin, at).ref;
	}

	/** Records a use of the session's pin. @returns the pin, if there is one. */
	touch(key: SessionKey, at: number): Pin | undefined {
		const id = idOf(key);
		const pin = this._pins.get(id);
		return pin && this._put(id, pin, pin, at);
	}

	/** Removes pins that have not been used since the time. */
	expire(before: number): void {
		this._drop(this._expiry.takeBefore(before));
	}

	snapshot(): unknown {
		return {pins: [...this._pins].map(([id, {ref, usedAt, changes}]) => [id, ref, usedAt, changes]), changes: [...this._changes]};
	}

	restore(snapshot: unknown): void {
		const {pins, changes} = snapshot as {pins: Array<[string, string, number, number]>; changes: PinChange[]};
		this._pins.clear();
		this._expiry.clear();
		this._changes.reset(changes);
		for (const [id, ref, usedAt, count] of pins) {
			this._put(id, undefined, {ref, changes: count}, usedAt);
		}
	}

	private _add(id: string, ref: VersionRef, at: number): VersionRef | undefined {
		if (this._pins.size >= this._limits.maxPins) {
			this._drop(this._expiry.takeOldest(at - this._limits.minPinIdleMs));
		}

		if (this._pins.size >= this._limits.maxPins) {
			return undefined;
		}

		return this._put(id, undefined, {ref, changes: 0}, at).ref;
	}

	private _drop(ids: readonly string[]): void {
		for (const id of ids) {
			this._pins.delete(id);
		}
	}

	private _put(id: string, before: Pin | undefined, {ref, changes}: Omit<Pin, 'usedAt'>, at: number): Pin {
		const pin = this._intern(ref, changes, at - (at % usedAtStepMs));
		if (pin !== before) {
			this._expiry.move(id, before?.usedAt, pin.usedAt);
			this._pins.set(id, pin);
		}

		return pin;
	}

	private _intern(ref: VersionRef, changes: number, usedAt: number): Pin {
		const id = `${changes}/${ref}`;
		const interned = this._interned.get(id);
		if (interned?.usedAt === usedAt) {
			return interned;
		}

		// There is one entry per version and number of changes, for the latest ten minutes only. If there are too many
		// of them, the map is cleared.
		if (this._interned.size >= maxInterned) {
			this._interned.clear();
		}

		const pin = {ref, usedAt, changes};
		this._interned.set(id, pin);
		return pin;
	}
}

function idOf({customer, service, session}: SessionKey): string {
	return scopedId(customer, service, session);
}
