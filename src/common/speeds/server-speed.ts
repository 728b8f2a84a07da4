import {HostShares} from './host-shares.js';
import {SpeedSignal} from './speed-signal.js';

/** Names of the signals of which a speed is estimated. */
export type SignalName = 'first' | 'pace';

/** Number of observations from which a signal counts. */
const minObservations = 0.5;

/** What the leader knows of the speed of one process. */
export class ServerSpeed {
	readonly signals: Readonly<Record<SignalName, SpeedSignal>> = {first: new SpeedSignal(), pace: new SpeedSignal()};
	/** Level of its weight, in steps of `weightStep`. */
	level = 0;
	/** Level of its weight that was logged last. */
	loggedLevel = 0;
	/** Number of the last change of its weight; 0 before the first one. */
	changedAs = 0;
	private readonly _shares: Readonly<Record<SignalName, HostShares>> = {first: new HostShares(), pace: new HostShares()};

	constructor(readonly key: string, readonly number: number, readonly service: string) {}

	/** Accepts observations of a host. @returns how many of them count. */
	accept(signal: SignalName, host: string, count: number, hosts: number, now: number): number {
		return this._shares[signal].accept(host, count, hosts, now);
	}

	/** Signals with enough observations that are not too old. */
	known(now: number): SignalName[] {
		return (['first', 'pace'] as const).filter(name => this.signals[name].weight(now) >= minObservations && this.signals[name].freshness(now) > 0);
	}

	prune(now: number): void {
		this._shares.first.prune(now);
		this._shares.pace.prune(now);
	}
}
