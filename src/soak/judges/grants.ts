import {type SoakHistory} from './soak-history.js';

/** Time in milliseconds within which all hosts must reject a removed key; setting `RevokeMs` of the soak. */
export const revokeMs = 5000;

/** Keys and routes of the configurations, with the times of their first acknowledgements. */
export class Grants {
	private readonly _issued = new Set<string>();
	private readonly _retired = new Set<string>();
	private readonly _acknowledgedAt = new Map<string, number>();
	private readonly _removedAt = new Map<string, number>();

	constructor(history: SoakHistory) {
		for (const {grants, removed} of history.sentConfigurations) {
			for (const grant of grants) {
				this._issued.add(grant);
			}

			for (const grant of removed) {
				this._retired.add(grant);
			}
		}

		for (const {configuration, at} of history.acknowledgements) {
			for (const [names, times] of [[configuration.grants, this._acknowledgedAt], [configuration.removed, this._removedAt]] as const) {
				for (const grant of names) {
					times.set(grant, Math.min(at, times.get(grant) ?? at));
				}
			}
		}
	}

	/** Whether any configuration contains it. */
	isIssued(grant: string): boolean {
		return this._issued.has(grant);
	}

	/** Whether no host may use it at a time, because its removal was acknowledged long enough before. */
	isRemoved(grant: string, at: number): boolean {
		return at > (this._removedAt.get(grant) ?? Infinity) + revokeMs;
	}

	/** Whether all hosts must know it at a time: it was acknowledged more than `revokeMs` before, so that a host that does not know of it has no lease by then, and no configuration removes it. */
	isInForce(grant: string, at: number): boolean {
		return (this._acknowledgedAt.get(grant) ?? Infinity) < at - revokeMs && !this._retired.has(grant);
	}
}
