import {type Clock} from '../base/clock.js';
import {hashString} from '../base/hash-string.js';

/** Options of an `UnratedCap`. */
export interface UnratedCapSettings {
	/** Unrated answers of a new version allowed over all hosts before any rating. */
	readonly initial: number;
	/** Additional unrated answers allowed for each rated answer that did not lead to a quarantine. */
	readonly growth: number;
	/** Rated answers over all hosts from which the version is no longer new. */
	readonly requiredRatings: number;
	/** Timeout of a rating in milliseconds; afterwards the answer no longer counts towards the cap. */
	readonly ratingTimeoutMs: number;
}

/** Default settings. 6 answers are about a seventh of Wald's expected sample, which leaves the rest of the exposure to the test itself. */
export const defaultUnratedCapSettings: UnratedCapSettings = {
	initial: 6, growth: 0.05, requiredRatings: 300, ratingTimeoutMs: 900_000,
};

/** Position of a host in a pseudorandom order of all hosts that depends on the key and is the same on each host. */
export function hostPosition(host: string, hosts: readonly string[], key: string): number {
	const rank = (name: string) => hashString(`${key}/${name}`);
	const own = rank(host);
	return hosts.filter(other => rank(other) < own || (rank(other) === own && other < host)).length;
}

/** Share of a limit for the host at a position. The shares of all hosts add up to the limit, also when there are more hosts than units. */
export function hostShare(limit: number, position: number, hosts: number): number {
	const whole = Math.floor(limit);
	return Math.floor(whole / hosts) + (position < whole % hosts ? 1 : 0);
}

/** Bounds the unrated answers of new versions on this host, so that exposure does not grow with the rating delay. */
export class UnratedCap {
	/** Start times of unrated attempts by version key, oldest first. */
	private readonly _outstanding = new Map<string, Map<string, number>>();

	/** Positions of this host by version key, for the last list of hosts. */
	private readonly _positions = new Map<string, number>();
	private _hosts: readonly string[] = [];

	constructor(private readonly _clock: Clock, private readonly _host: string, private readonly _settings: UnratedCapSettings = defaultUnratedCapSettings) {}

	/** Whether a version is new. All answers of a new version should be rated, because unrated ones would exhaust the cap. */
	isNew(rated: number): boolean {
		return rated < this._settings.requiredRatings;
	}

	/** Whether the version may receive another request; `rated` is its number of rated answers over all hosts. */
	allows(key: string, rated: number, hosts: readonly string[]): boolean {
		const {initial, growth} = this._settings;
		return !this.isNew(rated) || this.outstanding(key) < hostShare(initial + (growth * rated), this._position(key, hosts), hosts.length);
	}

	/** Number of unrated answers of a version on this host. */
	outstanding(key: string): number {
		const attempts = this._outstanding.get(key);
		if (!attempts) {
			return 0;
		}

		for (const [attemptId, at] of attempts) {
			if (at + this._settings.ratingTimeoutMs > this._clock.now()) {
				break;
			}

			attempts.delete(attemptId);
		}

		return attempts.size;
	}

	/** Records an attempt sent to a version. */
	recordSent(key: string, attemptId: string): void {
		const attempts = this._outstanding.get(key) ?? new Map<string, number>();
		attempts.set(attemptId, this._clock.now());
		this._outstanding.set(key, attempts);
	}

	/** Records that an attempt was rated, or ended in a way that needs no rating. */
	recordSettled(key: string, attemptId: string): void {
		this._outstanding.get(key)?.delete(attemptId);
	}

	private _position(key: string, hosts: readonly string[]): number {
		if (hosts !== this._hosts) {
			this._hosts = hosts;
			this._positions.clear();
		}

		let position = this._positions.get(key);
		if (position === undefined) {
			position = hostPosition(this._host, hosts, key);
			this._positions.set(key, position);
		}

		return position;
	}
}
