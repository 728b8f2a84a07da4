import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
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

/** A row that the leader of the current term does not have, or has with earlier counts. */
type Unsent = {
	/** Whether the leader has the row with earlier counts. */
	readonly isKnown: boolean;
	hasChangedSinceCollect: boolean;
};

const usPerMs = 1000;
/** Maximum length of a part in characters, except for a single longer row; 75 hosts send less than a second's bytes of a slow link. */
export const maxPartLength = 8192;

/**
Counts the outcomes of services under a roll-out at an entry host. Sends the rows that the leader has not acknowledged with the
renewals, those that have waited longest first.
*/
export class ReleaseRecorder implements ReleaseObserver, FollowerSection<readonly ReleaseCounts[], never>, Disposable {
	readonly section = releaseSection;
	private readonly _rows = new Map<string, Row>();
	private readonly _revisions = new Map<string, number>();
	/** Keys of the servers that have answered nothing since a broken attempt. */
	private readonly _silent = new Set<string>();

	/** Rows to send, by key, those that have waited longest first. */
	private readonly _unsent = new Map<string, Unsent>();
	/** Keys of the rows that the leader of the current term has, maybe with earlier counts. */
	private readonly _known = new Set<string>();
	private readonly _backlog = new Emitter<void>();
	private _collectedTerm: number | undefined;
	/** Keys of the rows of the last part. */
	private _collected: readonly string[] = [];
	private _hasBacklog = false;

	constructor(
		/** Returns the revision of the roll-out of a service; undefined when it has none in progress. */
		private readonly _rolloutRevisionOf: (service: string) => number | undefined,
		private readonly _maxPartLength = maxPartLength,
	) {}

	/** Raised when the leader has received a part and rows are left that did not fit into it. */
	get onBacklog(): Event<void> {
		return this._backlog.event;
	}

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

	collect(term = 0): readonly ReleaseCounts[] | undefined {
		this._dropEarlierRollouts();
		if (term !== this._collectedTerm) {
			this._collectedTerm = term;
			this._markAllUnsent();
		}

		const due = [...this._unsent].filter(([key]) => this._rolloutRevisionOf(this._rows.get(key)!.service) !== undefined);
		const rows: ReleaseCounts[] = [];
		let length = 0;
		for (const [key, unsent] of due) {
			const row = this._rows.get(key)!;
			length += JSON.stringify(row).length;
			if (rows.length > 0 && length > this._maxPartLength) {
				break;
			}

			unsent.hasChangedSinceCollect = false;
			rows.push({...row, headMs: [...row.headMs], paceUs: [...row.paceUs]});
		}

		this._collected = due.slice(0, rows.length).map(([key]) => key);
		this._hasBacklog = rows.length < due.length;
		const missing = due.slice(rows.length).filter(([, {isKnown}]) => !isKnown).length;
		return rows.length > 0 ? rows.map((row, index) => missing > 0 && index === rows.length - 1 ? {...row, missing} : row) : undefined;
	}

	acknowledge(term: number): void {
		// A leader of a later term has dropped the rows that it received in an earlier one.
		if (term !== this._collectedTerm) {
			return;
		}

		for (const key of this._collected) {
			const unsent = this._unsent.get(key);
			this._unsent.delete(key);
			if (unsent?.hasChangedSinceCollect) {
				this._unsent.set(key, {isKnown: true, hasChangedSinceCollect: true});
			}

			this._known.add(key);
		}

		this._collected = [];
		if (this._hasBacklog) {
			this._backlog.fire();
		}
	}

	dispose(): void {
		this._backlog.dispose();
	}

	/** Returns the counts that an attempt belongs to, to be changed; undefined when its service has no roll-out in progress. */
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

		const unsent = this._unsent.get(key);
		if (unsent) {
			unsent.hasChangedSinceCollect = true;
		} else {
			this._unsent.set(key, {isKnown: this._known.has(key), hasChangedSinceCollect: true});
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
				this._unsent.delete(key);
				this._known.delete(key);
			}
		}

		this._collected = this._collected.filter(key => this._rows.has(key));
	}

	private _dropEarlierRollouts(): void {
		for (const service of this._revisions.keys()) {
			const revision = this._rolloutRevisionOf(service);
			if (revision !== undefined) {
				this._resetForRollout(service, revision);
			}
		}
	}

	/** Sends all rows again, for a new leader. The releases of a route follow each other, so that the leader can compare them. */
	private _markAllUnsent(): void {
		this._known.clear();
		this._unsent.clear();
		const order = ({service, route, model}: Row) => JSON.stringify([service, route, model]);
		const rows = [...this._rows].map(([key, row]) => ({key, order: order(row)})).sort((left, right) => left.order < right.order ? -1 : 1);
		for (const {key} of rows) {
			this._unsent.set(key, {isKnown: false, hasChangedSinceCollect: false});
		}
	}
}
