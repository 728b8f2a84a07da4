import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type Clock} from '../base/clock.js';
import {ControlState} from './control-state.js';
import {type ControlStateSnapshot} from './control-state-snapshot.js';
import {LeaseHolder} from './lease-holder.js';
import {type ControlSnapshot, type NewestRouting, type RenewReply} from './renew-message.js';
import {type RoutingRecord} from './routing-record.js';

/** Replica of the control state at a daemon, with the daemon's lease. It never moves back, even when replies arrive late or out of order. */
export class ControlReplica implements Disposable {
	readonly state = new ControlState();
	readonly lease: LeaseHolder;
	private _applied = 0;
	private _term = 0;
	/** Revision of the newest routing configuration that a leader has named. */
	private _newestRouting = 0;
	private _newestVersion = -1;
	private readonly _onRevision = new Emitter<number>();

	constructor(private readonly _clock: Clock) {
		this.lease = new LeaseHolder(_clock);
	}

	/** Raised with the applied index after each advance, before the lease is extended on the basis of that index. */
	get onRevision(): Event<number> {
		return this._onRevision.event;
	}

	/** Index up to which the log is applied. */
	get applied(): number {
		return this._applied;
	}

	/** Highest term of a leader that has replied. */
	get term(): number {
		return this._term;
	}

	/**
	Index to report to the leader. It stays below a routing configuration whose content is missing, so that also a leader of an
	earlier software version, which sends the content with its entry, treats this daemon as lagging.
	*/
	get reportedApplied(): number {
		return this.missingRouting === undefined ? this._applied : Math.min(this._applied, this.missingRouting - 1);
	}

	/** Revision of the newest routing configuration, while its content is missing. */
	get missingRouting(): number | undefined {
		return this._newestRouting > (this.state.routing?.revision ?? 0) ? this._newestRouting : undefined;
	}

	/**
	Applies the reply of a leader to a renewal that was sent at `sentAt` on this daemon's clock.

	@returns whether the reply was accepted; a reply of an earlier leader is not.
	*/
	accept(reply: RenewReply, sentAt: number): boolean {
		if (reply.term < this._term) {
			return false;
		}

		this._term = reply.term;
		if (reply.routing) {
			this._recordNewest(reply.routing);
		}

		this._advance(reply);
		this._renewLease(reply, sentAt);
		return true;
	}

	/** Replaces the routing configuration by one whose content was fetched. */
	replaceRouting(record: RoutingRecord): void {
		if (this._adoptRouting(record)) {
			this._onRevision.fire(this._applied);
			this.lease.isSuperseded = this.missingRouting !== undefined;
		}
	}

	dispose(): void {
		this.lease.dispose();
		this._onRevision.dispose();
	}

	/** Records a configuration unless its version, and so its entry, has no effect. */
	private _recordNewest({version, revision}: NewestRouting): void {
		if (version > Math.max(this._newestVersion, this.state.routing?.version ?? -1)) {
			this._newestVersion = version;
			this._newestRouting = revision;
		}
	}

	private _renewLease({granted, commitIndex, leaseMs, heldMs = 0, routing}: RenewReply, sentAt: number): void {
		this.lease.isSuperseded = this.missingRouting !== undefined;
		// The leader built the reply at this time or later, and before it arrived. The clock of the leader may have counted a step of its time of day.
		const repliedAt = Math.min(sentAt + heldMs, this._clock.now());
		if (routing?.leftMs !== undefined) {
			this.lease.limit(repliedAt + routing.leftMs);
		}

		// A leader that names no configuration does not know that this daemon lacks one.
		const isComplete = this._applied >= commitIndex && (routing !== undefined || this.missingRouting === undefined);
		if (granted && isComplete) {
			// Confirmed first: requests that a new lease releases are decided by the confirmed configuration.
			this.lease.confirm(repliedAt - (routing?.replacedForMs ?? 0));
			this.lease.extend(repliedAt + leaseMs);
		}
	}

	private _advance({snapshot, entries}: RenewReply): void {
		const before = this._applied;
		let hasRouting = false;
		if (snapshot) {
			hasRouting = this._restore(snapshot);
		}

		for (const {index, command} of entries) {
			if (index === this._applied + 1) {
				this._applied = index;
				if (command?.type === 'change-routing') {
					// Only a leader of an earlier release passes on such an entry, which needs the text that the control hosts have.
					this._recordNewest({version: command.version, revision: index});
				} else if (command) {
					this.state.apply(index, command);
				}
			} else if (command?.type === 'apply-routing' && index <= this._applied) {
				// An entry that is already applied may bring the content that was missing.
				hasRouting = this._adoptRouting({version: command.version, source: command.source, revision: index}) || hasRouting;
			}
		}

		if (this._applied > before || hasRouting) {
			this._onRevision.fire(this._applied);
		}
	}

	/** Restores a later snapshot, which may leave out the routing configuration. @returns whether the configuration was replaced. */
	private _restore({index, state}: ControlSnapshot): boolean {
		const {routing} = this.state;
		const restored = (state as ControlStateSnapshot).routing;
		if (index > this._applied) {
			this.state.restore(state);
			this._applied = index;
			if (routing) {
				this.state.replaceRouting(routing);
			}
		}

		return restored !== undefined && this._adoptRouting(restored);
	}

	/** Adopts a routing configuration unless the one in use has the same or a higher version. */
	private _adoptRouting(record: RoutingRecord): boolean {
		const {routing} = this.state;
		if (routing && routing.version >= record.version) {
			return false;
		}

		this.state.replaceRouting(record);
		return true;
	}
}
