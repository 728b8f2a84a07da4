import {
	type Evacuation, type OwnEnd, type PlannedWork, type ReadConfiguration, type SentConfiguration, type SoakHistory, type SoakOutcome, type SoakRequest, type SoakRun,
} from './judges/soak-history.js';

/** Records what callers, backend servers and operators see. */
export class SoakRecorder implements SoakHistory {
	readonly requests = new Map<string, SoakRequest>();
	readonly runs = new Map<string, SoakRun[]>();
	readonly outcomes = new Map<string, SoakOutcome>();
	readonly sentConfigurations: SentConfiguration[] = [];
	readonly acknowledgements: Array<{configuration: SentConfiguration; at: number}> = [];
	readonly refusedConfigurations: Array<{version: number; status: number}> = [];
	readonly reads: ReadConfiguration[] = [];
	readonly unreadable: string[] = [];
	readonly leaves = new Map<string, number>();
	readonly endedServers = new Set<string>();
	readonly evacuations: Evacuation[] = [];
	readonly plannedWork: PlannedWork[] = [];
	readonly ownEnds: OwnEnd[] = [];
	longestPauseMs = 0;
	lastVersions: ReadonlyMap<string, number | undefined> = new Map();
	/** Number of hosts that were replaced by the present build. */
	replacements = 0;
	/** Number of draws by name. */
	readonly draws = new Map<string, number>();

	constructor(readonly isFaultFree: boolean, readonly isOverloaded: boolean, readonly graceMs: number) {}

	/** Figures for the report. */
	get counts() {
		const outcomes = [...this.outcomes.values()];
		return {
			requests: this.requests.size,
			answered: outcomes.filter(({status, end}) => status === 200 && end === 'complete').length,
			refused: outcomes.filter(({status}) => status === 503 || status === 429).length,
			runs: [...this.runs.values()].reduce((sum, {length}) => sum + length, 0),
			changes: this.acknowledgements.length,
			drains: this.leaves.size,
			evacuations: this.evacuations.length,
			replacements: this.replacements,
		};
	}

	/** Counts a draw of a backend server, caller or operator. */
	recordDraw(name: string): void {
		this.draws.set(name, (this.draws.get(name) ?? 0) + 1);
	}

	/** Records that a backend server has begun to work on a request. */
	recordRun(run: SoakRun): void {
		const runs = this.runs.get(run.id);
		if (runs) {
			runs.push(run);
		} else {
			this.runs.set(run.id, [run]);
		}
	}
}
