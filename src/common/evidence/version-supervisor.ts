import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlResult} from '../control/control-result.js';
import {type ControlView} from '../control/control-view.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {type VersionRef} from '../documents/version-ref.js';
import {hasCapacityForStep, planLoads} from '../orders/load-plan.js';
import {RolloutController, type RolloutSection} from '../rollout/rollout-controller.js';
import {isActive, type RolloutState} from '../rollout/rollout-state.js';
import {evidenceSubject, type EvidenceReport} from './evidence-counters.js';
import {evidenceSection, type EvidenceReply} from './evidence-section.js';
import {EvidenceTotals} from './evidence-totals.js';
import {LiftedQuarantineFilter} from './lifted-quarantine-filter.js';
import {QuarantineDetector, type QuarantineDecision} from './quarantine-detector.js';

/** Dependencies of a `VersionSupervisor`. */
export interface VersionSupervisorServices {
	readonly view: ControlView;
	/** Whether this host is the leader. */
	readonly isLeading: () => boolean;
	readonly propose: (command: ControlCommand) => Promise<ControlResult>;
	readonly clock: Clock;
	readonly logger: Logger;
}

/** Interval in milliseconds at which roll-outs are checked; short compared with the shortest useful step. */
const rolloutIntervalMs = 1000;
/** Time in milliseconds within which every entry host renews at a new leader with a full report: a few renewal intervals. */
const rebuildMs = 5000;

/** On the leader: sums the evidence of all entry hosts, quarantines bad versions and advances roll-outs. */
export class VersionSupervisor implements LeaderSection<EvidenceReport, EvidenceReply>, Disposable {
	readonly section = evidenceSection;
	private _totals = new EvidenceTotals();
	private _detector: QuarantineDetector;
	private _filter: LiftedQuarantineFilter;
	/** Until this time, reports include evidence from before the election of this leader, which may be older than a lift. */
	private _rebuildEndsAt = 0;
	private readonly _controller = new RolloutController();
	private readonly _proposing = new Set<string>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _services: VersionSupervisorServices) {
		this._detector = this._createDetector();
		this._filter = this._createFilter();
		this._sweep = new PeriodicSweep(_services.clock, rolloutIntervalMs, () => {
			this._advanceRollouts();
		});
	}

	reset(): void {
		this._totals = new EvidenceTotals();
		this._detector = this._createDetector();
		this._filter = this._createFilter();
		this._rebuildEndsAt = this._services.clock.now() + rebuildMs;
	}

	receive(_sender: RenewalSender, report: EvidenceReport): void {
		const isRebuilding = this._services.clock.now() < this._rebuildEndsAt;
		const keys = this._filter.select(this._totals.add(report), isRebuilding);
		for (const decision of this._detector.update(keys)) {
			void this._quarantine(decision);
		}
	}

	reply(): EvidenceReply | undefined {
		const rated = [...this._services.view.rollouts]
			.filter(([, state]) => isActive(state))
			.map(([service, {to}]) => [service, to, this._ratedAnswers(service, to)] as const);
		return rated.length > 0 ? {rated} : undefined;
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _createDetector(): QuarantineDetector {
		return new QuarantineDetector(this._services.clock, this._totals, (service, ref) => this._predecessorOf(service, ref));
	}

	private _createFilter(): LiftedQuarantineFilter {
		const {view} = this._services;
		return new LiftedQuarantineFilter(this._detector, (service, requestClass, ref) => view.liftedAt(service, requestClass, ref));
	}

	private _predecessorOf(service: string, ref: VersionRef): VersionRef | undefined {
		const {rollouts, documents} = this._services.view;
		const state = rollouts.get(service) ?? documents.get(service)?.document.rollout;
		return state?.to === ref ? state.from : undefined;
	}

	private _ratedAnswers(service: string, ref: VersionRef): number {
		let rated = 0;
		for (const key of this._totals.keys) {
			const subject = evidenceSubject(key);
			if (subject.service === service && subject.ref === ref) {
				rated += this._totals.total(key)[3];
			}
		}

		return rated;
	}

	private async _quarantine(decision: QuarantineDecision): Promise<void> {
		const {view, logger} = this._services;
		const {service, requestClass, ref, reason} = decision;
		if (!view.isQuarantined(service, requestClass, ref) && await this._propose(`quarantine/${service}/${requestClass}/${ref}`, {type: 'quarantine', ...decision})) {
			logger.warn({
				service, requestClass, ref, reason,
			}, 'version quarantined');
		}
	}

	private _advanceRollouts(): void {
		const {view, isLeading} = this._services;
		if (!isLeading()) {
			return;
		}

		for (const service of new Set([...view.documents.keys(), ...view.rollouts.keys()])) {
			void this._advanceRollout(service);
		}
	}

	private async _advanceRollout(service: string): Promise<void> {
		const {view, clock, logger} = this._services;
		const record = view.documents.get(service);
		const state = view.rollouts.get(service);
		const section = record?.document.rollout;
		const to = state && isActive(state) ? state.to : section?.to;
		if (to === undefined) {
			return;
		}

		const step = this._controller.decide({
			service,
			section,
			state,
			withdrawn: record?.withdrawn ?? [],
			quarantinedClasses: [...view.quarantines].filter(quarantine => quarantine.service === service && quarantine.ref === to).map(({requestClass}) => requestClass),
			rated: this._ratedAnswers(service, to),
			hasCapacityForStep: this._hasCapacityForStep(section, state),
			now: clock.wallTime(),
		});
		if (step && await this._propose(`rollout/${service}`, step)) {
			const {phase, percentage, reason} = step.state;
			logger.info({
				service, to, phase, percentage, reason,
			}, 'roll-out state changed');
		}
	}

	/** Whether the backend servers needed for the next step have loaded the version. */
	private _hasCapacityForStep(section: RolloutSection | undefined, state: RolloutState | undefined): boolean {
		if (!section) {
			return false;
		}

		const next = state && isActive(state) ? Math.min(state.step + 1, section.steps.length - 1) : 0;
		return hasCapacityForStep(planLoads(this._services.view.backendServers.values(), section, section.steps[next]!));
	}

	/** Proposes a command unless a proposal with the same key is pending. @returns whether it was accepted. */
	private async _propose(key: string, command: ControlCommand): Promise<boolean> {
		if (this._proposing.has(key)) {
			return false;
		}

		this._proposing.add(key);
		try {
			const {status} = await this._services.propose(command);
			return status === 'accepted';
		} catch {
			// Evidence and roll-outs are checked again at the next report or sweep, here or on a new leader.
			return false;
		} finally {
			this._proposing.delete(key);
		}
	}
}
