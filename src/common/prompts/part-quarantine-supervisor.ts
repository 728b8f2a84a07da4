import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlLeadership} from '../control/control-leadership.js';
import {type ControlResult} from '../control/control-result.js';
import {type ControlState} from '../control/control-state.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {CrashAnalysis} from './crash-analysis.js';
import {type CrashReport, crashSection} from './crash-report.js';

/** Dependencies of `PartQuarantineSupervisor`. */
export interface PartQuarantineSupervisorOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
}

const sweepIntervalMs = 1000;
/** Time in milliseconds without requests with a part after which its quarantine ends. */
const quarantineMs = 600_000;

/** Quarantines, at the leader, the parts of prompts under which servers end, based on the reports of all entry hosts. */
export class PartQuarantineSupervisor implements LeaderSection<CrashReport, never>, Disposable {
	readonly section = crashSection;
	private readonly _analysis = new CrashAnalysis();
	/** Times of the last requests with parts under quarantine that this leader knows of. */
	private readonly _requestedAt = new Map<string, number>();
	private readonly _proposed = new Set<string>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: PartQuarantineSupervisorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._quarantine();
			this._lift();
		});
	}

	reset(): void {
		this._analysis.clear();
		this._requestedAt.clear();
	}

	receive(_sender: RenewalSender, {crashes, sound, refused}: CrashReport): void {
		const now = this._options.clock.now();
		for (const part of sound) {
			this._analysis.recordSound(part, now);
		}

		for (const {server, agoMs, parts} of crashes) {
			this._analysis.recordCrash(server, now - agoMs, parts);
		}

		for (const part of refused) {
			this._requestedAt.set(part, now);
		}

		if (crashes.length > 0) {
			this._quarantine();
		}
	}

	reply(): undefined {
		return undefined;
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _quarantine(): void {
		const {leadership, state, clock} = this._options;
		if (!leadership.period) {
			return;
		}

		for (const {part, servers, requests} of this._analysis.blame(state.quarantinedParts, clock.now())) {
			void this._propose({type: 'quarantine-part', part, reason: `${servers.length} servers ended under ${requests} requests: ${servers.join(', ')}`});
		}
	}

	private _lift(): void {
		const {leadership, state, clock} = this._options;
		if (!leadership.period) {
			return;
		}

		const now = clock.now();
		for (const part of state.quarantinedParts.keys()) {
			const requestedAt = this._requestedAt.get(part);
			if (requestedAt === undefined) {
				this._requestedAt.set(part, now);
			} else if (now - requestedAt > quarantineMs) {
				void this._propose({type: 'lift-part-quarantine', part, reason: `no requests for ${quarantineMs} ms`});
			}
		}
	}

	private async _propose(command: Extract<ControlCommand, {type: 'quarantine-part' | 'lift-part-quarantine'}>): Promise<void> {
		const {log, logger} = this._options;
		const {type, part, reason} = command;
		if (this._proposed.has(part)) {
			return;
		}

		this._proposed.add(part);
		try {
			await log.propose(command);
			logger.warn({part, reason}, type === 'quarantine-part' ? 'prompt part quarantined' : 'quarantine of a prompt part lifted');
		} catch (error) {
			logger.warn({part, reason, err: error}, 'quarantine of a prompt part could not be changed');
		} finally {
			this._proposed.delete(part);
		}
	}
}
