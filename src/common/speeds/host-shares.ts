import {DecayedSum} from '../forwarding/decayed-sum.js';
import {steadyHalfLifeMs} from './speed-signal.js';

/** Factor over the mean of the other hosts by which the observations of one host may count. */
const maxFactor = 2;
/** Number of observations of a host that count in any case; with many hosts, each sees a server only once in many seconds. */
const minObservations = 2;
/** Count below which a host is dropped. */
const negligible = 0.05;

/** Limits how much the observations of one host count for one server, so that a host with wrong figures does not decide its weight. */
export class HostShares {
	private readonly _counts = new Map<string, DecayedSum>();
	private readonly _total = new DecayedSum(steadyHalfLifeMs);

	/** Accepts observations of a host. @returns how many of them count. `hosts` is the number of hosts that report. */
	accept(host: string, count: number, hosts: number, now: number): number {
		const own = this._counts.get(host) ?? new DecayedSum(steadyHalfLifeMs);
		const ownCount = own.at(now);
		const limit = hosts < 2 ? Infinity : Math.max(minObservations, maxFactor * (this._total.at(now) - ownCount) / (hosts - 1));
		const accepted = Math.max(0, Math.min(count, limit - ownCount));
		own.add(accepted, now);
		this._total.add(accepted, now);
		this._counts.set(host, own);
		return accepted;
	}

	/** Drops hosts that have not reported for long. */
	prune(now: number): void {
		for (const [host, count] of this._counts) {
			if (count.at(now) < negligible) {
				this._counts.delete(host);
			}
		}
	}
}
