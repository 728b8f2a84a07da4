import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {hashString} from '../base/hash-string.js';
import {serviceKind} from '../documents/service-kind.js';
import {type BackendServer} from './backend-server.js';
import {type ControlView} from './control-view.js';
import {type DocumentRecord} from './document-record.js';
import {SubsetChooser, type SubsetDaemon, type SubsetServer} from './subset-chooser.js';

/** Subset of one daemon over all services. */
export interface DaemonSubset {
	/** Hash of the ids. */
	readonly digest: string;
	readonly ids: readonly string[];
}

/** Minimum time in milliseconds between two plans, so that a burst of joins causes one plan. */
const minPlanIntervalMs = 1000;
/** Number of steps in one turn of the event loop: about 2 ms of work. */
const stepsPerTurn = 8;

/** Plans the subsets of all daemons on the leader, and again after each change of the documents or the directory. */
export class SubsetPlanner implements Disposable {
	private _plan = new Map<string, DaemonSubset>();
	private _revision = -1;
	private _plannedAt = Number.NEGATIVE_INFINITY;
	private _inputKey = '';
	/** Timer of the next steps; undefined when no plan is in progress. */
	private _nextSteps: Disposable | undefined;

	constructor(private readonly _view: Pick<ControlView, 'revision' | 'documents' | 'entryHosts' | 'backendServers'>, private readonly _clock: Clock) {}

	/** Subset of a daemon in the last finished plan; undefined if the plan does not contain the daemon. Starts a plan when one is due. */
	subset(host: string): DaemonSubset | undefined {
		const now = this._clock.now();
		if (!this._nextSteps && this._revision !== this._view.revision && now - this._plannedAt >= minPlanIntervalMs) {
			this._revision = this._view.revision;
			this._plannedAt = now;
			this._start();
		}

		return this._plan.get(host);
	}

	dispose(): void {
		this._nextSteps?.dispose();
	}

	private _start(): void {
		const {documents, entryHosts, backendServers} = this._view;
		const services = [...documents].map(([name, record]) => serversOf(name, record, backendServers.values()));
		const daemons = [...entryHosts.values()].map(({host, zone}) => ({host, zone}));
		// Most changes do not affect the subsets, and a plan for 370 daemons takes 0.1 s.
		const key = JSON.stringify([services, daemons]);
		if (key !== this._inputKey) {
			this._inputKey = key;
			this._run(planSteps(daemons, services));
		}
	}

	private _run(steps: ReturnType<typeof planSteps>): void {
		this._nextSteps = undefined;
		for (let step = 0; step < stepsPerTurn; step++) {
			const {done, value} = steps.next();
			if (done) {
				this._plan = value;
				return;
			}
		}

		// Messages that have arrived in the meantime are handled before the next steps.
		this._nextSteps = this._clock.setTimer(0, () => {
			this._run(steps);
		});
	}
}

function * planSteps(daemons: readonly SubsetDaemon[], services: readonly SubsetServer[][]): Generator<void, Map<string, DaemonSubset>> {
	const ids = new Map(daemons.map(({host}) => [host, new Set<string>()]));
	for (const servers of services) {
		const subsets = yield * new SubsetChooser(daemons, servers).steps();
		for (const [host, subset] of subsets) {
			for (const id of subset) {
				ids.get(host)!.add(id);
			}
		}
	}

	return new Map([...ids].map(([host, chosen]) => [host, toDaemonSubset([...chosen].toSorted((a, b) => a < b ? -1 : 1))]));
}

function toDaemonSubset(ids: readonly string[]): DaemonSubset {
	const text = ids.join(' ');
	return {digest: `${hashString(text).toString(36)}-${hashString(text, 1).toString(36)}`, ids};
}

function serversOf(service: string, {document}: DocumentRecord, servers: Iterable<BackendServer>): SubsetServer[] {
	const isModel = document.kind === serviceKind.model;
	return [...servers]
		.map(({id, zone, offers, services}) => ({
			id, zone, versions: offers.map(({ref}) => ref).filter(ref => document.versions.includes(ref)), isOffered: services.includes(service),
		}))
		.filter(({versions, isOffered}) => isModel ? versions.length > 0 : isOffered)
		.map(({id, zone, versions}) => ({id, zone, versions: isModel ? versions : []}));
}
