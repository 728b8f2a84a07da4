import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type BackendMonitor} from './backend-monitor.js';
import {loadSection, type LoadReply, type LoadRequest} from './backend-sections.js';
import {type ControlView} from './control-view.js';
import {
	fromLoadTuple, toLoadTuple, type AgedLoad, type LoadTuple,
} from './load-tuple.js';
import {type LeaderSection, type RenewalSender} from './leader-section.js';
import {PeriodicSweep} from './periodic-sweep.js';
import {type SubsetPlanner} from './subset-planner.js';

type StoredLoad = {load: AgedLoad; at: number; sequence: number};

const pruneIntervalMs = 60_000;

/** Collects the loads of backend servers on the leader and sends each daemon those of its subset. */
export class LoadExchange implements LeaderSection<LoadRequest, LoadReply>, Disposable {
	readonly section = loadSection;
	private readonly _loads = new Map<string, StoredLoad>();
	/** Subset digest that each daemon last reported. */
	private readonly _digests = new Map<string, string | undefined>();
	/** Sequence number of the last load sent to each daemon. */
	private readonly _sentSequences = new Map<string, number>();
	private _sequence = 0;
	private readonly _sweep: PeriodicSweep;

	constructor(
		private readonly _planner: Pick<SubsetPlanner, 'subset'>,
		private readonly _monitor: Pick<BackendMonitor, 'recordAnnouncement'>,
		private readonly _view: Pick<ControlView, 'backendServers' | 'entryHosts'>,
		private readonly _clock: Clock,
	) {
		this._sweep = new PeriodicSweep(_clock, pruneIntervalMs, () => {
			this._prune();
		});
	}

	reset(): void {
		this._loads.clear();
		this._digests.clear();
		this._sentSequences.clear();
	}

	receive({host}: RenewalSender, {loads, subsetDigest}: LoadRequest): void {
		this._digests.set(host, subsetDigest);
		const now = this._clock.now();
		for (const load of loads.map(tuple => fromLoadTuple(tuple))) {
			const at = now - load.ageMs;
			const known = this._loads.get(load.id);
			this._monitor.recordAnnouncement(load, at);
			if (!known || load.incarnation > known.load.incarnation || (load.incarnation === known.load.incarnation && at > known.at)) {
				this._loads.set(load.id, {load, at, sequence: ++this._sequence});
			}
		}
	}

	reply({host}: RenewalSender): LoadReply | undefined {
		const subset = this._planner.subset(host);
		if (!subset) {
			return undefined;
		}

		const now = this._clock.now();
		const hasSubset = this._digests.get(host) === subset.digest;
		const since = hasSubset ? this._sentSequences.get(host) ?? 0 : 0;
		this._sentSequences.set(host, this._sequence);
		const loads = subset.ids.flatMap(id => this._unsentLoad(id, since, now));
		return hasSubset ? {loads} : {loads, subset};
	}

	dispose(): void {
		this._sweep.dispose();
	}

	/** Deletes the data of hosts and backend servers that have left the directory. */
	private _prune(): void {
		for (const id of this._loads.keys()) {
			if (!this._view.backendServers.has(id)) {
				this._loads.delete(id);
			}
		}

		for (const map of [this._digests, this._sentSequences]) {
			for (const host of map.keys()) {
				if (!this._view.entryHosts.has(host)) {
					map.delete(host);
				}
			}
		}
	}

	/** The load of a backend server; empty if it is from another incarnation or was already sent to the daemon. */
	private _unsentLoad(id: string, since: number, now: number): LoadTuple[] {
		const known = this._loads.get(id);
		const isCurrent = known?.load.incarnation === this._view.backendServers.get(id)?.incarnation;
		return known && isCurrent && known.sequence > since ? [toLoadTuple({...known.load, ageMs: now - known.at})] : [];
	}
}
