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
import {serviceRolloutState, type ServiceRollout, type ServiceRolloutState} from '../control/service-rollout.js';
import {type ReleaseCounts, releaseSection} from './release-evidence.js';
import {judgeRelease, releaseVerdict} from './release-verdict.js';

/** What roll-outs of releases are supervised with. */
export interface ReleaseSupervisorOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
}

/** Share of the sessions at each stage, with the part of the duration at which it begins. */
const stages = [
	{from: 0, share: 0},
	{from: 0, share: 0.12},
	{from: 0.55, share: 0.3},
	{from: 0.65, share: 1},
] as const;
/** Part of the duration from which sessions may change to the new release. */
const movesFrom = 0.55;
/** Time in milliseconds from the order to the first share: two renewals, by which hosts tell each other the running sessions. */
const tellSessionsMs = 2200;
/** Part of the duration at which a release that is good is complete; the rest is for the answers that the old one still gives. */
const completeAt = 0.82;
/** Part of the duration at which a release without enough evidence is reverted. */
const giveUpAt = 0.93;
const sweepIntervalMs = 200;

/** Share of the stage that begins at a part of the duration. */
function stageShareFrom(part: number): number {
	return stages.find(({from}) => from === part)!.share;
}

/** Moves roll-outs of releases forward at the leader, on the evidence of all entry hosts, and reverts bad ones. */
export class ReleaseSupervisor implements LeaderSection<readonly ReleaseCounts[], never>, Disposable {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, ReleaseCounts>();
	private readonly _sweep: PeriodicSweep;
	private _isProposing = false;

	constructor(private readonly _options: ReleaseSupervisorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._check();
		});
	}

	reset(): void {
		this._rows.clear();
	}

	receive({host, incarnation}: RenewalSender, part: readonly ReleaseCounts[]): void {
		for (const counts of part) {
			const key = `${host}#${incarnation}/${counts.service}/${counts.release}/${counts.route}`;
			const known = this._rows.get(key);
			if (!known || known.answers <= counts.answers) {
				this._rows.set(key, counts);
			}
		}
	}

	reply(): undefined {
		return undefined;
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _check(): void {
		const {leadership, state} = this._options;
		if (!leadership.period || this._isProposing) {
			return;
		}

		for (const rollout of state.serviceRollouts.values()) {
			if (rollout.state === serviceRolloutState.inProgress) {
				this._advance(rollout);
			}
		}
	}

	private _advance(rollout: ServiceRollout): void {
		const {clock, state} = this._options;
		const {service, target, startedAt, durationMs, share} = rollout;
		const rows = [...this._rows.values()].filter(counts => counts.service === service);
		const {verdict, reason, answers, failures} = judgeRelease(target, rows);
		const evidence = `${reason}; ${failures} of ${answers} failed`;
		const elapsedMs = clock.wallTime() - startedAt;
		const part = elapsedMs / durationMs;
		const hasTarget = [...state.backendServers.values()].some(({services, release, isDraining}) => release === target && !isDraining && services.includes(service));
		if (verdict === releaseVerdict.bad) {
			this._step(rollout, serviceRolloutState.reverted, 0, evidence);
			return;
		}

		if (verdict === releaseVerdict.good && part >= completeAt && share === 1) {
			this._step(rollout, serviceRolloutState.completed, 1, evidence);
			return;
		}

		if (part >= giveUpAt) {
			this._step(rollout, serviceRolloutState.reverted, 0, `not proved in time: ${evidence}`);
			return;
		}

		const stage = elapsedMs < tellSessionsMs ? stages[0] : stages.findLast(({from}) => part >= from)!;
		const allowed = verdict === releaseVerdict.good || stage.from === 0 ? stage.share : share;
		if (hasTarget && allowed > share) {
			this._step(rollout, serviceRolloutState.inProgress, allowed, evidence);
		}
	}

	private _step({service, target}: ServiceRollout, state: ServiceRolloutState, share: number, reason: string): void {
		this._isProposing = true;
		void this._propose({
			type: 'service-rollout-step', service, target, state, share, reason, holdsSessions: share < stageShareFrom(movesFrom),
		});
	}

	private async _propose(command: Extract<ControlCommand, {type: 'service-rollout-step'}>): Promise<void> {
		const {log, logger} = this._options;
		const {service, target, state, share, reason} = command;
		try {
			await log.propose(command);
			logger.info({
				service, target, state, share, reason,
			}, 'roll-out step');
		} catch (error) {
			logger.warn({service, target, err: error}, 'roll-out step could not be committed');
		} finally {
			this._isProposing = false;
		}
	}
}
