import {type LaggingHost} from './in-force.js';
import {type DaemonOverview} from './leader-overview.js';
import {type RenewalSender, senderKey} from './leader-section.js';

/** A lease granted at a commit index, with the time at which it has expired on every clock. */
type Grant = {index: number; endsAt: number};

type Row = RenewalSender & {applied: number; lastRenewalAt: number; grants: Grant[]; isReleased: boolean};

/**
Leases granted by this leader, by host and incarnation.

A daemon that holds a lease granted at an index has applied that index. It can lack a revision only if it has reported
a lower index and a lease granted below that revision is still valid. So a revision is in force at the latest one lease
duration after its commit, even if replies are lost.
*/
export class LeaseTable {
	private readonly _rows = new Map<string, Row>();

	/** Number of processes that hold a lease or have recently renewed. */
	get size(): number {
		return this._rows.size;
	}

	clear(): void {
		this._rows.clear();
	}

	/** Records a renewal. A renewal that arrives late does not lower the applied index. */
	recordRenewal(sender: RenewalSender, applied: number, now: number): void {
		const row = this._row(sender);
		row.applied = Math.max(row.applied, applied);
		row.lastRenewalAt = now;
	}

	/** Records a lease granted with a reply. */
	recordGrant(sender: RenewalSender, index: number, endsAt: number): void {
		const {grants} = this._row(sender);
		const last = grants.at(-1);
		if (last?.index === index) {
			last.endsAt = Math.max(last.endsAt, endsAt);
		} else {
			// A lease is never shortened by a later one.
			grants.push({index, endsAt: Math.max(endsAt, last?.endsAt ?? endsAt)});
		}
	}

	/** Records that a process has released its lease for good. */
	recordRelease(sender: RenewalSender): void {
		const row = this._row(sender);
		row.grants = [];
		row.isReleased = true;
	}

	/** Whether a process has released its lease; its renewals that arrive later get none. */
	isReleased(sender: RenewalSender): boolean {
		return this._rows.get(senderKey(sender))?.isReleased ?? false;
	}

	/** Time of the last renewal; undefined when there was none under this leader. */
	lastRenewalAt(sender: RenewalSender): number | undefined {
		return this._rows.get(senderKey(sender))?.lastRenewalAt;
	}

	/** Time at which all leases of a process have expired; undefined when it has none. */
	leaseEnd(sender: RenewalSender): number | undefined {
		return this._rows.get(senderKey(sender))?.grants.at(-1)?.endsAt;
	}

	/** Processes with a valid lease that may not have applied a revision, with the time until the lease expires. */
	behind(revision: number, now: number): LaggingHost[] {
		const behind: LaggingHost[] = [];
		for (const {host, incarnation, applied, grants} of this._rows.values()) {
			const endsAt = grants.findLast(grant => grant.index < revision)?.endsAt ?? now;
			if (applied < revision && endsAt > now) {
				behind.push({
					host, incarnation, applied, leaseEndsInMs: endsAt - now,
				});
			}
		}

		return behind;
	}

	/** All processes that have renewed under this leader, sorted by host. */
	overview(now: number): DaemonOverview[] {
		return [...this._rows.values()].map(({host, incarnation, applied, lastRenewalAt, grants, isReleased}) => ({
			host, incarnation, applied, seenAgoMs: now - lastRenewalAt, leaseEndsInMs: Math.max(0, (grants.at(-1)?.endsAt ?? now) - now), released: isReleased,
		})).sort((one, other) => one.host.localeCompare(other.host) || one.incarnation - other.incarnation);
	}

	/** Removes expired leases, and processes that have neither a lease nor a recent renewal. */
	prune(now: number, keepMs: number): void {
		for (const [id, row] of this._rows) {
			row.grants = row.grants.filter(grant => grant.endsAt > now);
			if (row.grants.length === 0 && row.lastRenewalAt + keepMs < now) {
				this._rows.delete(id);
			}
		}
	}

	private _row(sender: RenewalSender): Row {
		let row = this._rows.get(senderKey(sender));
		if (!row) {
			row = {
				host: sender.host, incarnation: sender.incarnation, applied: 0, lastRenewalAt: 0, grants: [], isReleased: false,
			};
			this._rows.set(senderKey(sender), row);
		}

		return row;
	}
}
