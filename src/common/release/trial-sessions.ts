import {type BackendServer} from '../control/backend-server.js';
import {isRejected, serviceRolloutState, type ServiceRollout} from '../control/service-rollout.js';
import {sessionPosition} from '../forwarding/servers-for-release.js';
import {maxTrialShare, trialShare} from './release-schedule.js';

/** Factor on the expected share of a trial that has not begun: servers may leave before it begins, which makes the share larger. */
const shareMargin = 2;

/** Roll-outs and servers that decide which sessions a trial may take. */
export interface TrialView {
	readonly serviceRollouts: ReadonlyMap<string, ServiceRollout>;
	readonly backendServers: ReadonlyMap<string, Pick<BackendServer, 'services' | 'release' | 'isDraining'>>;
}

/** Tells which sessions the trial of a roll-out takes or may take. Only these have to be known to all hosts to stay on the old release. */
export class TrialSessions {
	private _trials: ReadonlyArray<{readonly revision: number; readonly share: number}> = [];

	/** Updates the trials after a change of the roll-outs or the servers. */
	update({serviceRollouts, backendServers}: TrialView): void {
		this._trials = [...serviceRollouts.values()].filter(({state, holdsSessions}) => state === serviceRolloutState.inProgress && holdsSessions).map(rollout => ({
			revision: rollout.revision, share: rollout.share > 0 ? rollout.share : Math.min(maxTrialShare, shareMargin * trialShare(previousServers(rollout, backendServers.values()))),
		}));
	}

	mayMove(session: string): boolean {
		return this._trials.some(({revision, share}) => sessionPosition(session, revision) < share);
	}
}

/** Number of servers that take requests and are not of the new release. */
function previousServers(rollout: ServiceRollout, servers: Iterable<Pick<BackendServer, 'services' | 'release' | 'isDraining'>>): number {
	return [...servers].filter(({services, release, isDraining}) => !isDraining && services.includes(rollout.service) && release !== rollout.target && !isRejected(rollout, release)).length;
}
