import {type Clock} from '../base/clock.js';
import {type BackendServer} from '../control/backend-server.js';
import {availableStates} from './available-states.js';
import {type BackendSelector, type Dispatch, type SelectionRequest} from './backend-selector.js';
import {type LoadReport} from './load-report.js';
import {ServerState} from './server-state.js';

/** Base class of the baseline selectors. Health and in-flight counts work as in the load-aware selector, so that only the choice differs. */
export abstract class SimpleSelector implements BackendSelector {
	private readonly _states = new Map<string, ServerState>();

	constructor(private readonly _clock: Clock) {}

	select(req: SelectionRequest, candidates: readonly BackendServer[]): BackendServer | undefined {
		const states = candidates.filter(({id}) => !req.exclude.has(id)).map(server => this.stateOf(server));
		const servers = availableStates(states, this._clock.now()).map(({server}) => server!);
		return servers.length <= 1 ? servers[0] : this.choose(servers);
	}

	dispatch(req: SelectionRequest, server: BackendServer): Dispatch {
		const now = this._clock.now();
		const state = this.stateOf(server);
		const inFlight = {
			sentAt: now, tokens: req.inputTokens, urgency: req.urgency, expectedMs: 0,
		};
		state.health.recordSent(now);
		state.recordSent(inFlight);
		return {
			firstToken() {
				// The baselines do not learn from the time to first token.
			},
			finish: ({failed}) => {
				state.recordEnd(inFlight, failed, this._clock.now());
				state.health.record(failed, now, this._clock.now());
			},
		};
	}

	reportLoad(id: string, incarnation: number, report: LoadReport): void {
		const state = this._states.get(id);
		if (state?.incarnation === incarnation) {
			state.applyReport(report);
		}
	}

	reportCache(): void {
		// The baselines ignore caches.
	}

	expectedFirstTokenMs(): number | undefined {
		return undefined;
	}

	/** State of the server's incarnation, created at first use. */
	protected stateOf(server: BackendServer): ServerState {
		const known = this._states.get(server.id);
		if (known && known.incarnation >= server.incarnation) {
			return known;
		}

		const state = new ServerState(server.id, server.incarnation, server);
		this._states.set(server.id, state);
		return state;
	}

	/** Chooses among at least two servers. */
	protected abstract choose(servers: readonly BackendServer[]): BackendServer;
}
