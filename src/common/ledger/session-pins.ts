import {type Clock} from '../base/clock.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type Ledger} from './ledger.js';
import {SessionVersionError} from './ledger-errors.js';
import {type SessionKey} from './ledger-record.js';
import {scopedId} from './scoped-id.js';

/** Decides which versions a session may use, from the applied documents and quarantines of the caller. */
export interface VersionChoice {
	/** Why the version must not be used (for example `withdrawn`, `quarantined`, `not-allowed`); undefined when it may be used. */
	refusal(ref: VersionRef): string | undefined;
	/** Chooses a version for a session that has none or whose version must not be used. Throws when none is allowed. */
	choose(): VersionRef;
}

type Cached = {ref: VersionRef; usedAt: number};

/** Maximum number of cached sessions. An entry host has more sessions in 24 h at the target load, but a miss costs only one commit. */
const defaultMaxSessions = 10_000;
/** Milliseconds without use after which a cached pin is stale; well below the 24 h after which it expires in the ledger. */
const cacheTtlMs = 43_200_000;
/** One first pin, and one replacement of a version that must not be used. */
const maxPinsPerResolve = 2;

/** Cache of session pins at one entry host; at most one pin record per session is in flight. */
export class SessionPins {
	/** In order of last use, least recently used first. */
	private readonly _cache = new Map<string, Cached>();
	private readonly _pending = new Map<string, Promise<void>>();

	constructor(private readonly _ledger: Ledger, private readonly _clock: Clock, private readonly _maxSessions = defaultMaxSessions) {}

	get size(): number {
		return this._cache.size;
	}

	/**
	Returns the version of the session. A pinned version that must not be used is replaced at most once, with the cause.

	@throws SessionVersionError when the version in force after that must not be used either, for example because another
	entry host has newer documents. Errors of the ledger and of `choose` are rethrown.
	*/
	async resolve(session: SessionKey, choice: VersionChoice): Promise<VersionRef> {
		const id = idOf(session);
		for (let pins = 0; ;) {
			const pending = this._pending.get(id);
			if (pending) {
				// eslint-disable-next-line no-await-in-loop -- the pin in flight determines the version
				await pending;
			}

			const ref = this._getCached(id);
			const cause = ref === undefined ? undefined : choice.refusal(ref);
			if (ref !== undefined && cause === undefined) {
				return ref;
			}

			if (!this._pending.has(id)) {
				if (pins++ >= maxPinsPerResolve) {
					throw new SessionVersionError(`${ref} is in force for the session and must not be used: ${cause}`);
				}

				// eslint-disable-next-line no-await-in-loop -- a replacement may follow the first pin
				await this._pinOnce(id, session, choice.choose(), ref === undefined ? {} : {replaces: ref, cause: cause!});
			}
		}
	}

	/** Updates the cached version of a session whose pin was replaced elsewhere. Sessions that are not cached are ignored. */
	applyReplacement(session: SessionKey, ref: VersionRef): void {
		const id = idOf(session);
		if (this._cache.has(id)) {
			this._store(id, ref);
		}
	}

	private async _pinOnce(id: string, session: SessionKey, ref: VersionRef, replacement: {replaces?: VersionRef; cause?: string}): Promise<void> {
		const pending = this._pin(id, session, ref, replacement);
		this._pending.set(id, pending);
		try {
			await pending;
		} finally {
			this._pending.delete(id);
		}
	}

	private async _pin(id: string, {customer, service, session}: SessionKey, ref: VersionRef, replacement: {replaces?: VersionRef; cause?: string}): Promise<void> {
		const result = await this._ledger.pin({
			type: 'pin', customer, service, session, ref, ...replacement, at: this._clock.wallTime(),
		});
		this._store(id, result.ref);
	}

	private _getCached(id: string): VersionRef | undefined {
		const cached = this._cache.get(id);
		if (!cached || this._clock.now() - cached.usedAt >= cacheTtlMs) {
			return undefined;
		}

		this._store(id, cached.ref);
		return cached.ref;
	}

	private _store(id: string, ref: VersionRef): void {
		this._cache.delete(id);
		this._cache.set(id, {ref, usedAt: this._clock.now()});
		if (this._cache.size > this._maxSessions) {
			this._cache.delete(this._cache.keys().next().value!);
		}
	}
}

function idOf({customer, service, session}: SessionKey): string {
	return scopedId(customer, service, session);
}
