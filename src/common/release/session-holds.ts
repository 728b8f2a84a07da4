import {type Clock} from '../base/clock.js';
import {hashString} from '../base/hash-string.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {renewalSection} from '../control/renewal-section.js';

/** Sessions by their hash that ran on the old release of a service under a roll-out. */
const section = renewalSection<readonly number[], readonly number[]>('sessions');

/** Part of the time for which sessions are held after which a session that goes on is told to the other hosts again. */
const repeatPart = 0.4;

/** Sessions that keep the old release in the first part of a roll-out, because one of the hosts ran them there lately. */
export class SessionHolds implements FollowerSection<readonly number[], readonly number[]> {
	readonly section = section;
	/** Own sessions with the time of the last request and of the last report. */
	private readonly _own = new Map<number, {at: number; toldAt: number}>();
	private readonly _others = new Map<number, number>();

	constructor(
		private readonly _clock: Clock,
		/** Time in milliseconds after a request for which its session counts as running. */
		private readonly _sessionMs: number,
		/** Whether a roll-out is in its first part, so that the other hosts must know. */
		private readonly _isSharing: () => boolean,
	) {}

	/** Notes that a session ran on the old release. */
	note(session: string): void {
		const hash = hashString(session);
		const known = this._own.get(hash);
		// Re-insertion keeps the map ordered by age.
		this._own.delete(hash);
		this._own.set(hash, {at: this._clock.now(), toldAt: known?.toldAt ?? -Infinity});
		this._prune();
	}

	/** Whether a session keeps the old release. */
	isHeld(session: string): boolean {
		const hash = hashString(session);
		const since = this._clock.now() - this._sessionMs;
		return (this._own.get(hash)?.at ?? -Infinity) > since || (this._others.get(hash) ?? -Infinity) > since;
	}

	collect(): readonly number[] | undefined {
		if (!this._isSharing()) {
			return undefined;
		}

		this._prune();
		const now = this._clock.now();
		const due = [...this._own].filter(([, {toldAt}]) => now - toldAt > this._sessionMs * repeatPart);
		return due.map(([hash]) => hash);
	}

	acknowledge(_term: number, sent: readonly number[] | undefined, reply: readonly number[] | undefined): void {
		const now = this._clock.now();
		for (const hash of sent ?? []) {
			const own = this._own.get(hash);
			if (own) {
				own.toldAt = now;
			}
		}

		for (const hash of reply ?? []) {
			this._others.delete(hash);
			this._others.set(hash, now);
		}
	}

	private _prune(): void {
		const since = this._clock.now() - this._sessionMs;
		dropWhile(this._own, ({at}) => at <= since);
		dropWhile(this._others, at => at <= since);
	}
}

/** Passes the sessions that one host tells to the others, at the leader. */
export class SessionHoldExchange implements LeaderSection<readonly number[], readonly number[]> {
	readonly section = section;
	private readonly _told = new Map<number, {sender: string; at: number; sequence: number}>();
	private readonly _readers = new Map<string, number>();
	private _sequence = 0;

	constructor(private readonly _clock: Clock, private readonly _sessionMs: number) {}

	reset(): void {
		this._told.clear();
		this._readers.clear();
	}

	receive({host}: RenewalSender, hashes: readonly number[]): void {
		const now = this._clock.now();
		for (const hash of hashes) {
			this._told.delete(hash);
			this._told.set(hash, {sender: host, at: now, sequence: ++this._sequence});
		}

		dropWhile(this._told, ({at}) => at <= now - this._sessionMs);
	}

	reply({host}: RenewalSender): readonly number[] | undefined {
		const read = this._readers.get(host) ?? 0;
		this._readers.set(host, this._sequence);
		const news = [...this._told].filter(([, {sender, sequence}]) => sequence > read && sender !== host);
		return news.length > 0 ? news.map(([hash]) => hash) : undefined;
	}
}

/** Drops the oldest items of a map that is ordered by age. */
function dropWhile<Key, Value>(map: Map<Key, Value>, isOld: (value: Value) => boolean): void {
	for (const [key, value] of map) {
		if (!isOld(value)) {
			return;
		}

		map.delete(key);
	}
}
