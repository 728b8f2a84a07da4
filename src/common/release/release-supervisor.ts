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
import {type JudgedRelease, judgeRelease, releaseVerdict} from './release-verdict.js';

/** Dependencies of `ReleaseSupervisor`. */
export interface ReleaseSupervisorOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
}

/** Stages of a roll-out: the share of the sessions, and the fraction of the duration from which it applies. */
const stages = [
	{from: 0, share: 0},
	{from: 0, share: 0.12},
	{from: 0.55, share: 0.3},
	{from: 0.65, share: 1},
] as const;
/** Fraction of the duration from which sticky sessions may move to the new release. */
const moveSessionsFrom = 0.55;
/** Time in milliseconds from the start to the first share: two renewals, in which the hosts exchange their sticky sessions. */
const sessionExchangeMs = 2200;
/** Fraction of the duration from which a good release is completed; the old release can finish its requests in the rest. */
const completeFrom = 0.82;
/** Fraction of the duration from which a release without enough evidence is reverted. */
const revertFrom = 0.93;
const sweepIntervalMs = 200;
/** Minimum time in milliseconds between two log lines on releases in progress. */
const logIntervalMs = 1000;

/** Returns the share of the stage that begins at a fraction of the duration. */
function stageShareFrom(fraction: number): number {
	return stages.find(({from}) => from === fraction)!.share;
}

/** Advances roll-outs of releases at the leader, based on the evidence of all entry hosts, and reverts bad releases. */
export class ReleaseSupervisor implements LeaderSection<readonly ReleaseCounts[], never>, Disposable {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, ReleaseCounts>();
	private readonly _sweep: PeriodicSweep;
	private _isProposing = false;
	private _loggedAt = -Infinity;

	constructor(private readonly _options: ReleaseSupervisorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._check();
		});
	}

	reset(): void {
		this._rows.clear();
	}

	receive({host, incarnation}: RenewalSender, rows: readonly ReleaseCounts[]): void {
		for (const counts of rows) {
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
		const fraction = elapsedMs / durationMs;
		this._log(rollout, elapsedMs, {
			verdict, reason, answers, failures,
		});
		const hasTarget = [...state.backendServers.values()].some(({services, release, isDraining}) => release === target && !isDraining && services.includes(service));
		if (verdict === releaseVerdict.bad) {
			this._step(rollout, serviceRolloutState.reverted, 0, evidence);
			return;
		}

		if (verdict === releaseVerdict.good && fraction >= completeFrom && share === 1) {
			this._step(rollout, serviceRolloutState.completed, 1, evidence);
			return;
		}

		if (fraction >= revertFrom) {
			this._step(rollout, serviceRolloutState.reverted, 0, `not proved in time: ${evidence}`);
			return;
		}

		const stage = elapsedMs < sessionExchangeMs ? stages[0] : stages.findLast(({from}) => fraction >= from)!;
		const allowedShare = verdict === releaseVerdict.good || stage.from === 0 ? stage.share : share;
		if (hasTarget && allowedShare > share) {
			this._step(rollout, serviceRolloutState.inProgress, allowedShare, evidence);
		}
	}

	/** Logs the current judgement, at most once in `logIntervalMs`. */
	private _log({service, target, share}: ServiceRollout, elapsedMs: number, {verdict, reason, answers, failures}: JudgedRelease): void {
		const {clock, logger} = this._options;
		if (clock.now() - this._loggedAt >= logIntervalMs) {
			this._loggedAt = clock.now();
			logger.info({
				service, target, elapsedMs: Math.round(elapsedMs), share, verdict, reason, answers, failures,
			}, 'release judged');
		}
	}

	private _step({service, target}: ServiceRollout, state: ServiceRolloutState, share: number, reason: string): void {
		this._isProposing = true;
		void this._propose({
			type: 'service-rollout-step', service, target, state, share, reason, holdsSessions: share < stageShareFrom(moveSessionsFrom),
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
