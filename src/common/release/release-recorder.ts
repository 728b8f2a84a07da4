import {type FollowerSection} from '../control/follower-section.js';
import {type ReleaseObserver, type ReleaseSubject} from '../forwarding/release-observer.js';
import {type ReleaseCounts, releaseSection} from './release-evidence.js';
import {addValue} from './value-histogram.js';

type Row = Pick<ReleaseCounts, 'rollout' | 'service' | 'release' | 'route' | 'model'> & {
	sent: number;
	answers: number;
	failures: number;
	broken: number;
	headMs: number[];
	paceUs: number[];
};

const usPerMs = 1000;

/** Counts the outcomes of services under a roll-out at an entry host and sends them with the renewals. */
export class ReleaseRecorder implements ReleaseObserver, FollowerSection<readonly ReleaseCounts[], never> {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, Row>();
	private readonly _revisions = new Map<string, number>();
	/** Keys of the servers that have answered nothing since a broken attempt. */
	private readonly _silent = new Set<string>();

	/** `rolloutRevisionOf` returns the revision of the roll-out of a service; undefined when it has none in progress. */
	constructor(private readonly _rolloutRevisionOf: (service: string) => number | undefined) {}

	recordSent(subject: ReleaseSubject): void {
		const row = this._row(subject);
		if (row) {
			row.sent++;
		}
	}

	recordAnswer(subject: ReleaseSubject, isFailed: boolean): void {
		this._silent.delete(subject.record.key);
		const row = this._row(subject);
		if (row) {
			row.answers++;
			row.failures += isFailed ? 1 : 0;
		}
	}

	recordBroken(subject: ReleaseSubject, hasHead: boolean): void {
		const row = this._row(subject);
		const {key} = subject.record;
		if (!row || this._silent.has(key)) {
			return;
		}

		this._silent.add(key);
		row.answers += hasHead ? 0 : 1;
		row.broken++;
	}

	recordHeadTime(subject: ReleaseSubject, latencyMs: number): void {
		const row = this._row(subject);
		if (row) {
			addValue(row.headMs, latencyMs);
		}
	}

	recordPace(subject: ReleaseSubject, msPerKib: number): void {
		const row = this._row(subject);
		if (row) {
			addValue(row.paceUs, msPerKib * usPerMs);
		}
	}

	collect(): readonly ReleaseCounts[] | undefined {
		const rows = [...this._rows.values()].filter(({service}) => this._rolloutRevisionOf(service) !== undefined);
		return rows.length > 0 ? rows.map(row => ({...row, headMs: [...row.headMs], paceUs: [...row.paceUs]})) : undefined;
	}

	acknowledge(): void {
		// Keeps the counts: they are cumulative, and the next renewal sends them again.
	}

	/** Returns the counts that an attempt belongs to; undefined when its service has no roll-out in progress. */
	private _row({service, route, record, model}: ReleaseSubject): Row | undefined {
		const {release} = record.server;
		const revision = this._rolloutRevisionOf(service);
		if (release === undefined || revision === undefined) {
			return undefined;
		}

		this._resetForRollout(service, revision);
		const key = JSON.stringify([service, release, route, model]);
		let row = this._rows.get(key);
		if (!row) {
			row = {
				rollout: revision, service, release, route, model, sent: 0, answers: 0, failures: 0, broken: 0, headMs: [], paceUs: [],
			};
			this._rows.set(key, row);
		}

		return row;
	}

	/** Drops the counts of an earlier roll-out of the service. */
	private _resetForRollout(service: string, revision: number): void {
		if (this._revisions.get(service) === revision) {
			return;
		}

		this._revisions.set(service, revision);
		this._silent.clear();
		for (const [key, row] of this._rows) {
			if (row.service === service) {
				this._rows.delete(key);
			}
		}
	}
}
