import {type InForceReply} from '../common/control/in-force.js';
import {type ClusterDaemon, type ControlCluster} from './control-cluster.js';

/**
Records violations of a running `ControlCluster`: a follower whose state goes back to an earlier revision, and a follower
with a valid lease that lacks a revision that any leader has reported in force.
*/
export class ControlChecker {
	readonly violations: string[] = [];
	/** Highest revision that a leader has reported in force. */
	inForce = 0;
	private readonly _lastSeen = new WeakMap<ClusterDaemon, {applied: number; revision: number}>();

	constructor(
		private readonly _cluster: ControlCluster,
		/** Interprets the reply of a leader; a test of the checker replaces it by a wrong interpretation. */
		private readonly _isInForce = (reply: InForceReply) => reply.inForce,
	) {}

	/** Advances the clock in steps of `stepMs` and checks after each step. */
	async advance(durationMs: number, stepMs = 20): Promise<void> {
		for (let time = 0; time < durationMs; time += stepMs) {
			// eslint-disable-next-line no-await-in-loop -- checks run between the steps
			await this._cluster.clock.advance(Math.min(stepMs, durationMs - time));
			this.check();
		}
	}

	check(): void {
		for (const {service} of this._cluster.daemons.values()) {
			if (service?.leadership.period) {
				while (this._isInForce(service.inForce(this.inForce + 1))) {
					this.inForce++;
				}
			}
		}

		for (const [host, daemon] of this._cluster.daemons) {
			this._checkDaemon(host, daemon);
		}
	}

	private _checkDaemon(host: string, daemon: ClusterDaemon): void {
		const {applied, view: {revision}, lease} = daemon.follower;
		const seen = this._lastSeen.get(daemon) ?? {applied: 0, revision: 0};
		if (applied < seen.applied || revision < seen.revision) {
			this.violations.push(`${host} went back from ${seen.applied} to ${applied}`);
		}

		if (lease.isValid() && applied < this.inForce) {
			this.violations.push(`${host} has a lease and lacks revision ${this.inForce}, which is in force; it has ${applied}`);
		}

		this._lastSeen.set(daemon, {applied, revision});
	}
}
