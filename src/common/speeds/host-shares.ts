import {steadyHalfLifeMs} from './speed-signal.js';

/** Factor over the mean of the other hosts by which the observations of one host may count. */
const maxFactor = 2;
/** Number of observations of a host that count in any case; with many hosts, each sees a server only once in many seconds. */
const minObservations = 2;
/** Count below which a host is dropped. With 0.05, the leader of 370 hosts and 690 servers held twice as many counts. */
const negligible = 0.25;
/** Factor of the decay below which all counts are dropped, so that it never becomes 0 while no host reports. */
const smallestFactor = 1e-9;

/**
Limits how much the observations of one host count for one server, so that a host with wrong figures does not decide its weight.

The counts are plain numbers that all decay at once, because there is one for each host and server: 370 hosts and 690 servers
with an object for each count took 60 MB.
*/
export class HostShares {
	private readonly _counts = new Map<string, number>();
	private _total = 0;
	private _decayedAt = 0;
	/** Factor by which all counts have decayed since they were last multiplied by it. */
	private _factor = 1;

	/** Accepts observations of a host. @returns how many of them count. `hosts` is the number of hosts that report. */
	accept(host: string, count: number, hosts: number, now: number): number {
		this._decay(now);
		const ownCount = (this._counts.get(host) ?? 0) * this._factor;
		const limit = hosts < 2 ? Infinity : Math.max(minObservations, maxFactor * (this._total - ownCount) / (hosts - 1));
		const accepted = Math.max(0, Math.min(count, limit - ownCount));
		this._counts.set(host, (ownCount + accepted) / this._factor);
		this._total += accepted;
		return accepted;
	}

	/** Drops hosts that have not reported for long. */
	prune(now: number): void {
		this._decay(now);
		let total = 0;
		for (const [host, stored] of this._counts) {
			const count = stored * this._factor;
			if (count < negligible) {
				this._counts.delete(host);
			} else {
				this._counts.set(host, count);
				total += count;
			}
		}

		this._total = total;
		this._factor = 1;
	}

	private _decay(now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this._decayedAt) / steadyHalfLifeMs);
		this._decayedAt = Math.max(this._decayedAt, now);
		this._factor *= factor;
		this._total *= factor;
		if (this._factor < smallestFactor) {
			this._counts.clear();
			this._total = 0;
			this._factor = 1;
		}
	}
}
