import {type ServiceRolloutStep, type StartServiceRollout} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {serviceRolloutState, type ServiceRollout} from './service-rollout.js';

/** Maximum number of rejected releases that are remembered; the servers of earlier ones have left. */
const maxRejected = 8;

/** Roll-outs of releases by service, part of the control state. */
export class ServiceRolloutTable {
	readonly rollouts = new Map<string, ServiceRollout>();

	/** Starts a roll-out. A repeated command for the same target has no effect. */
	start(index: number, {service, target, durationMs, at}: StartServiceRollout): ControlResult {
		const current = this.rollouts.get(service);
		if (current?.target === target) {
			return {status: 'accepted', revision: current.revision};
		}

		if (current?.state === serviceRolloutState.inProgress) {
			return {
				status: 'rejected', code: 'rollout-active', message: `the roll-out of ${current.target} is in progress`,
			};
		}

		this.rollouts.set(service, {
			service, target, rejected: rejectedBefore(current, target), durationMs, startedAt: at, revision: index, share: 0, holdsSessions: true, state: serviceRolloutState.inProgress,
		});
		return {status: 'accepted', revision: index};
	}

	/** Applies a step of the leader; a finished roll-out does not change. */
	step(index: number, {service, target, state, share, holdsSessions}: ServiceRolloutStep): ControlResult {
		const current = this.rollouts.get(service);
		if (current?.target !== target || current.state !== serviceRolloutState.inProgress) {
			return {status: 'ignored', reason: 'the roll-out is not in progress'};
		}

		this.rollouts.set(service, {
			...current, state, share, holdsSessions,
		});
		return {status: 'accepted', revision: index};
	}

	snapshot(): Array<[string, ServiceRollout]> {
		return [...this.rollouts];
	}

	restore(rows: ReadonlyArray<[string, ServiceRollout]> = []): void {
		this.rollouts.clear();
		for (const [service, rollout] of rows) {
			this.rollouts.set(service, rollout);
		}
	}
}

/** Returns the releases that earlier roll-outs reverted, without the one that is tried again. */
function rejectedBefore(last: ServiceRollout | undefined, target: string): readonly string[] {
	const rejected = [...(last?.rejected ?? []), ...(last?.state === serviceRolloutState.reverted ? [last.target] : [])];
	return [...new Set(rejected)].filter(release => release !== target).slice(-maxRejected);
}
