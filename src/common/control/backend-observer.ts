import {type BackendObservation, type BackendRef} from './backend-observation.js';
import {type BackendProber} from './backend-prober.js';
import {observationSection} from './backend-sections.js';
import {type ControlView} from './control-view.js';
import {type FollowerSection} from './follower-section.js';

/** Maximum number of failures in one renewal; later requests report the rest again. */
const maxFailures = 64;

/** Reports silent and failing backend servers to the leader, and probes those that the leader names. */
export class BackendObserver implements FollowerSection<readonly BackendObservation[], readonly BackendRef[]> {
	readonly section = observationSection;
	private readonly _failures = new Map<string, BackendObservation>();

	constructor(
		private readonly _registrar: {silentServers(): BackendRef[]},
		private readonly _prober: BackendProber,
		private readonly _view: Pick<ControlView, 'backendServers'>,
	) {}

	/** Records a failed request or probe for the next renewal. */
	reportFailure({id, incarnation}: BackendRef): void {
		if (this._failures.size < maxFailures) {
			this._failures.set(id, {id, incarnation, kind: 'failed'});
		}
	}

	collect(): readonly BackendObservation[] | undefined {
		const silent = this._registrar.silentServers().map(({id, incarnation}) => ({id, incarnation, kind: 'silent'} as const));
		const all = [...silent, ...this._failures.values()];
		return all.length > 0 ? all : undefined;
	}

	acknowledge(_term: number, sent: readonly BackendObservation[] | undefined, reply: readonly BackendRef[] | undefined): void {
		for (const observation of sent ?? []) {
			if (this._failures.get(observation.id) === observation) {
				this._failures.delete(observation.id);
			}
		}

		for (const target of reply ?? []) {
			void this._probe(target);
		}
	}

	private async _probe({id, incarnation}: BackendRef): Promise<void> {
		const server = this._view.backendServers.get(id);
		if (server?.incarnation === incarnation && !await this._prober.probe(server)) {
			this.reportFailure(server);
		}
	}
}
