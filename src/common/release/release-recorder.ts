import {type FollowerSection} from '../control/follower-section.js';
import {type ReleaseObserver, type ReleaseOutcome} from '../forwarding/release-observer.js';
import {type ReleaseCounts, releaseSection} from './release-evidence.js';

type Row = {-readonly [Key in keyof ReleaseCounts]: ReleaseCounts[Key]};

/** Counts the outcomes of services under a roll-out at an entry host and sends them with the renewals. */
export class ReleaseRecorder implements ReleaseObserver, FollowerSection<readonly ReleaseCounts[], never> {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, Row>();
	private readonly _revisions = new Map<string, number>();

	/** `rolloutRevisionOf` returns the revision of the roll-out of a service; undefined when it has none in progress. */
	constructor(private readonly _rolloutRevisionOf: (service: string) => number | undefined) {}

	observe({service, route, record, isFailed, latencyMs}: ReleaseOutcome): void {
		const {release} = record.server;
		const revision = this._rolloutRevisionOf(service);
		if (release === undefined || revision === undefined) {
			return;
		}

		this._resetForRollout(service, revision);

		const key = `${service}/${release}/${route}`;
		let row = this._rows.get(key);
		if (!row) {
			row = {
				service, release, route, answers: 0, failures: 0, logLatency: 0, logLatencySquares: 0,
			};
			this._rows.set(key, row);
		}

		const logLatency = Math.log(Math.max(1, latencyMs));
		row.answers++;
		row.failures += isFailed ? 1 : 0;
		row.logLatency += logLatency;
		row.logLatencySquares += logLatency ** 2;
	}

	collect(): readonly ReleaseCounts[] | undefined {
		const rows = [...this._rows.values()].filter(({service}) => this._rolloutRevisionOf(service) !== undefined);
		return rows.length > 0 ? rows.map(row => ({...row})) : undefined;
	}

	acknowledge(): void {
		// Keeps the counts: they are cumulative, and the next renewal sends them again.
	}

	/** Drops the counts of an earlier roll-out of the service. */
	private _resetForRollout(service: string, revision: number): void {
		if (this._revisions.get(service) === revision) {
			return;
		}

		this._revisions.set(service, revision);
		for (const [key, row] of this._rows) {
			if (row.service === service) {
				this._rows.delete(key);
			}
		}
	}
}
