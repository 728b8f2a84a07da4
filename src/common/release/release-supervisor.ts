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
import {
	isRejected, serviceRolloutState, type ServiceRollout, type ServiceRolloutState,
} from '../control/service-rollout.js';
import {type ExposureLimit} from './exposure-limit.js';
import {type ReleaseCounts, releaseSection} from './release-evidence.js';
import {type JudgedRelease, ReleaseJudge, releaseVerdict} from './release-judge.js';
import {
	allowedStage, releaseStage, type ReleaseStage, trialShare,
} from './release-schedule.js';
import {ReleaseTotals} from './release-totals.js';
import {ReleaseTraffic} from './release-traffic.js';

/** Dependencies of `ReleaseSupervisor`. */
export interface ReleaseSupervisorOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly exposureLimit: ExposureLimit;
}

/** What this leader knows of a roll-out. */
interface Observation {
	readonly revision: number;
	readonly totals: ReleaseTotals;
	readonly judge: ReleaseJudge;
	readonly traffic: ReleaseTraffic;
	loggedAt: number;
}

const sweepIntervalMs = 200;
/** Minimum time in milliseconds between two log lines on a roll-out in progress. */
const logIntervalMs = 1000;
const wholeShare = 1;
/** Time in milliseconds without a renewal after which the rows that a host has not sent yet are not waited for: two renewals. */
const maxMissingMs = 2000;

/** Advances roll-outs of releases at the leader, based on the evidence of all entry hosts, and reverts bad releases. */
export class ReleaseSupervisor implements LeaderSection<readonly ReleaseCounts[], never>, Disposable {
	readonly section = releaseSection;
	private readonly _observations = new Map<string, Observation>();
	/** Times of the last part of the hosts that have rows that this leader has never received. */
	private readonly _incomplete = new Map<string, number>();
	private readonly _sweep: PeriodicSweep;
	private _isProposing = false;

	constructor(private readonly _options: ReleaseSupervisorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._check();
		});
	}

	reset(): void {
		this._observations.clear();
		this._incomplete.clear();
	}

	receive(sender: RenewalSender, rows: readonly ReleaseCounts[]): void {
		for (const counts of rows) {
			const rollout = this._options.state.serviceRollouts.get(counts.service);
			// A host that has not applied the start of a roll-out yet still sends the counts of the one before.
			if (rollout?.state === serviceRolloutState.inProgress && rollout.revision === counts.rollout && !isRejected(rollout, counts.release)) {
				this._observe(rollout).totals.receive(sender, counts);
			}
		}

		if (rows.at(-1)?.missing) {
			this._incomplete.set(sender.host, this._options.clock.now());
		} else {
			this._incomplete.delete(sender.host);
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
		const {clock} = this._options;
		const {startedAt, durationMs, share} = rollout;
		const observation = this._observe(rollout);
		const {judge, traffic, totals} = observation;
		const isComplete = [...this._incomplete.values()].every(at => clock.now() - at > maxMissingMs);
		traffic.update(totals.rows, clock.now(), isComplete);
		const judged = this._judge(judge, totals, isComplete);
		const elapsedMs = clock.wallTime() - startedAt;
		const {old, target} = this._serverCounts(rollout);
		const {exposed, all, perSecond, peakPerSecond} = traffic;
		const stage = allowedStage({
			elapsedMs, durationMs, trialShare: trialShare(old), exposed, all, perSecond, peakPerSecond,
		}, this._options.exposureLimit);
		this._log(rollout, observation, judged, {
			elapsedMs: Math.round(elapsedMs), stage, perSecond: perSecond && Math.round(perSecond), peakPerSecond: peakPerSecond && Math.round(peakPerSecond),
		});
		if (judged.verdict === releaseVerdict.bad) {
			this._step(rollout, serviceRolloutState.reverted, 0, judged);
			return;
		}

		if (stage === releaseStage.ending) {
			this._end(rollout, judged);
			return;
		}

		if (stage === releaseStage.moving && judged.verdict === releaseVerdict.good && share < wholeShare) {
			this._step(rollout, serviceRolloutState.inProgress, wholeShare, judged);
		} else if (stage !== releaseStage.waiting && share === 0 && target > 0) {
			judge.startTrial();
			this._step(rollout, serviceRolloutState.inProgress, trialShare(old), judged);
		}
	}

	/** Judges a release. While rows are missing, one of them may show a fault, so the release is not good yet. */
	private _judge(judge: ReleaseJudge, totals: ReleaseTotals, isComplete: boolean): JudgedRelease {
		const judged = judge.judge(totals.rows);
		return isComplete || judged.verdict !== releaseVerdict.good ? judged : {...judged, verdict: releaseVerdict.undecided, reason: 'not all counts received'};
	}

	private _end(rollout: ServiceRollout, judged: JudgedRelease): void {
		if (judged.verdict === releaseVerdict.good) {
			this._step(rollout, serviceRolloutState.completed, wholeShare, judged);
		} else {
			this._step(rollout, serviceRolloutState.reverted, 0, {...judged, reason: `not proved in time: ${judged.reason}`});
		}
	}

	private _observe({service, target, revision}: ServiceRollout): Observation {
		let observation = this._observations.get(service);
		if (observation?.revision !== revision) {
			observation = {
				revision, totals: new ReleaseTotals(), judge: new ReleaseJudge(target), traffic: new ReleaseTraffic(target), loggedAt: -Infinity,
			};
			this._observations.set(service, observation);
		}

		return observation;
	}

	/** Number of servers of the new release and of the previous one that take requests. */
	private _serverCounts(rollout: ServiceRollout): {old: number; target: number} {
		const {service, target} = rollout;
		const servers = [...this._options.state.backendServers.values()].filter(({services, isDraining, release}) => !isDraining && services.includes(service) && !isRejected(rollout, release));
		const count = servers.filter(({release}) => release === target).length;
		return {old: servers.length - count, target: count};
	}

	/** Logs the current judgement, at most once in `logIntervalMs`. */
	private _log({service, target, share}: ServiceRollout, observation: Observation, judged: JudgedRelease, inputs: {elapsedMs: number; stage: ReleaseStage; perSecond: number | undefined; peakPerSecond: number | undefined}): void {
		const {clock, logger} = this._options;
		if (clock.now() - observation.loggedAt >= logIntervalMs) {
			observation.loggedAt = clock.now();
			const {exposed, all} = observation.traffic;
			logger.info({
				service, target, share, ...inputs, exposed, all, ...judged,
			}, 'release judged');
		}
	}

	private _step({service, target}: ServiceRollout, state: ServiceRolloutState, share: number, judged: JudgedRelease): void {
		this._isProposing = true;
		void this._propose({
			type: 'service-rollout-step', service, target, state, share, reason: judged.reason, holdsSessions: share < wholeShare,
		}, judged);
	}

	private async _propose(command: Extract<ControlCommand, {type: 'service-rollout-step'}>, {verdict, answers, bad}: JudgedRelease): Promise<void> {
		const {log, logger} = this._options;
		const {service, target, state, share, reason} = command;
		try {
			await log.propose(command);
			logger.info({
				service, target, state, share, verdict, reason, answers, bad,
			}, 'roll-out step');
		} catch (error) {
			logger.warn({service, target, err: error}, 'roll-out step could not be committed');
		} finally {
			this._isProposing = false;
		}
	}
}
