import {type Clock} from '../base/clock.js';

/** Fraction of its share that a host uses until all others know of it. */
const unsettledFraction = 0.5;

type Membership = {readonly at: number; readonly hosts: number};

/**
Share of one host in an allowance that all entry hosts use together. The shares of all hosts add up to at most 1 while hosts
come and go by no more than a third at once: a new host uses a part of its share until the others know of it, and a share grows
only after hosts that have left can no longer have used theirs within the same window.
*/
export class SlackShare {
	private _listedAt: number | undefined;
	/** Numbers of hosts over the last hold time, the newest last. */
	private _history: Membership[] = [];

	/** `_settleMs`: time after which all hosts know of a new one or no longer serve. `_holdMs`: time for which a host that has left counts. */
	constructor(private readonly _clock: Clock, private readonly _settleMs: number, private readonly _holdMs: number) {}

	/** Called when the directory has changed. */
	update(hosts: number, isListed: boolean): void {
		const now = this._clock.now();
		this._listedAt = isListed ? this._listedAt ?? now : undefined;
		if (this._history.at(-1)?.hosts !== hosts) {
			this._history = [...this._recent(now), {at: now, hosts}];
		}
	}

	/** Current share, from 0 to 1. */
	get value(): number {
		const now = this._clock.now();
		if (this._listedAt === undefined) {
			return 0;
		}

		const share = 1 / Math.max(1, ...this._recent(now).map(({hosts}) => hosts));
		return now - this._listedAt < this._settleMs ? unsettledFraction * share : share;
	}

	/** The numbers of hosts that were current at some time within the hold time. */
	private _recent(now: number): Membership[] {
		return this._history.filter((_, index) => (this._history[index + 1]?.at ?? Infinity) > now - this._holdMs);
	}
}
