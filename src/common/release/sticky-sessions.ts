import {type Clock} from '../base/clock.js';
import {hashString} from '../base/hash-string.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {renewalSection} from '../control/renewal-section.js';

/** Section of the renewals with the hashes of sessions that ran on the old release of a service under a roll-out. */
const section = renewalSection<readonly number[], readonly number[]>('sessions');

/** Fraction of the session duration after which an active session is reported to the other hosts again. */
const reportIntervalFraction = 0.4;

/** Sessions that stay on the old release in the first stages of a roll-out, because a host recently ran them there. */
export class StickySessions implements FollowerSection<readonly number[], readonly number[]> {
	readonly section = section;
	/** Sessions of this host, with the times of the last request and the last report. */
	private readonly _local = new Map<number, {readonly session: string; at: number; reportedAt: number}>();
	/** Sessions of other hosts, with the time of the last report. */
	private readonly _remote = new Map<number, number>();

	constructor(
		private readonly _clock: Clock,
		/** Time in milliseconds after a request for which its session counts as active. */
		private readonly _sessionMs: number,
		/** Whether a roll-out that keeps active sessions on the old release would otherwise move this one, so that the other hosts must know of it. */
		private readonly _mayMove: (session: string) => boolean,
	) {}

	/** Records that a session ran on the old release. */
	recordRequest(session: string): void {
		const hash = hashString(session);
		const known = this._local.get(hash);
		// Reinsertion keeps the map ordered by age.
		this._local.delete(hash);
		this._local.set(hash, {session, at: this._clock.now(), reportedAt: known?.reportedAt ?? -Infinity});
		this._prune();
	}

	/** Whether a session stays on the old release. */
	isSticky(session: string): boolean {
		const hash = hashString(session);
		const since = this._clock.now() - this._sessionMs;
		return (this._local.get(hash)?.at ?? -Infinity) > since || (this._remote.get(hash) ?? -Infinity) > since;
	}

	collect(): readonly number[] | undefined {
		this._prune();
		const now = this._clock.now();
		const due = [...this._local].filter(([, {session, reportedAt}]) => now - reportedAt > this._sessionMs * reportIntervalFraction && this._mayMove(session));
		return due.length > 0 ? due.map(([hash]) => hash) : undefined;
	}

	acknowledge(_term: number, sent: readonly number[] | undefined, reply: readonly number[] | undefined): void {
		const now = this._clock.now();
		for (const hash of sent ?? []) {
			const session = this._local.get(hash);
			if (session) {
				session.reportedAt = now;
			}
		}

		for (const hash of reply ?? []) {
			this._remote.delete(hash);
			this._remote.set(hash, now);
		}
	}

	private _prune(): void {
		const since = this._clock.now() - this._sessionMs;
		dropWhile(this._local, ({at}) => at <= since);
		dropWhile(this._remote, at => at <= since);
	}
}

/** Distributes the reported sessions of each host to the other hosts, at the leader. */
export class StickySessionExchange implements LeaderSection<readonly number[], readonly number[]> {
	readonly section = section;
	private readonly _reports = new Map<number, {sender: string; at: number; sequence: number}>();
	/** Sequence number of the last report sent to each host. */
	private readonly _sentUpTo = new Map<string, number>();
	private _sequence = 0;

	constructor(private readonly _clock: Clock, private readonly _sessionMs: number) {}

	reset(): void {
		this._reports.clear();
		this._sentUpTo.clear();
	}

	receive({host}: RenewalSender, hashes: readonly number[]): void {
		const now = this._clock.now();
		for (const hash of hashes) {
			this._reports.delete(hash);
			this._reports.set(hash, {sender: host, at: now, sequence: ++this._sequence});
		}

		dropWhile(this._reports, ({at}) => at <= now - this._sessionMs);
	}

	reply({host}: RenewalSender): readonly number[] | undefined {
		const sentUpTo = this._sentUpTo.get(host) ?? 0;
		this._sentUpTo.set(host, this._sequence);
		const unsent = [...this._reports].filter(([, {sender, sequence}]) => sequence > sentUpTo && sender !== host);
		return unsent.length > 0 ? unsent.map(([hash]) => hash) : undefined;
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
