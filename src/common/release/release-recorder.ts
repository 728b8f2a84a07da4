import {type FollowerSection} from '../control/follower-section.js';
import {type ReleaseObserver, type ReleaseOutcome} from '../forwarding/release-observer.js';
import {type ReleaseCounts, releaseSection} from './release-evidence.js';

type Row = {-readonly [Key in keyof ReleaseCounts]: ReleaseCounts[Key]};

/** Counts outcomes of services under a roll-out at an entry host and sends them with the renewals. */
export class ReleaseRecorder implements ReleaseObserver, FollowerSection<readonly ReleaseCounts[], never> {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, Row>();

	constructor(private readonly _isRolledOut: (service: string) => boolean) {}

	observe({service, route, record, isFailed, latencyMs}: ReleaseOutcome): void {
		const {id, incarnation, release} = record.server;
		if (release === undefined || !this._isRolledOut(service)) {
			return;
		}

		const key = `${id}#${incarnation}#${route}`;
		let row = this._rows.get(key);
		if (!row) {
			row = {
				service, release, server: `${id}#${incarnation}`, route, answers: 0, failures: 0, logLatency: 0, logLatencySquares: 0,
			};
			this._rows.set(key, row);
		}

		const logLatency = Math.log(Math.max(1, latencyMs));
		row.answers++;
		row.failures += isFailed ? 1 : 0;
		row.logLatency += logLatency;
		row.logLatencySquares += logLatency ** 2;
	}

	/** Forgets the counts of a service, before its next roll-out. */
	reset(service: string): void {
		for (const [key, row] of this._rows) {
			if (row.service === service) {
				this._rows.delete(key);
			}
		}
	}

	collect(): readonly ReleaseCounts[] | undefined {
		const rows = [...this._rows.values()].filter(({service}) => this._isRolledOut(service));
		return rows.length > 0 ? rows.map(row => ({...row})) : undefined;
	}

	acknowledge(): void {
		// The counts are cumulative; the next renewal sends them again.
	}
}
