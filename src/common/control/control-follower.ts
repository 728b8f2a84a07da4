import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';
import {type ConfigLease} from './config-lease.js';
import {type ControlCommand} from './control-command.js';
import {proposeMethod, releaseMethod, renewMethod} from './control-methods.js';
import {ControlReplica} from './control-replica.js';
import {type ControlResult} from './control-result.js';
import {
	leaseMs, maxConfirmIntervalMs, minRenewIntervalMs, proposeTimeoutMs, renewHoldMs, renewIntervalMs, renewTimeoutMs,
} from './control-times.js';
import {type ControlView} from './control-view.js';
import {type EntryHost} from './entry-host.js';
import {FollowerSections, partsOf} from './follower-sections.js';
import {type FollowerSection} from './follower-section.js';
import {LeaderLink} from './leader-link.js';
import {type RenewRefusal, type RenewReply} from './renew-message.js';

/** What a follower works with. `entry` describes this process; its incarnation is the start time in Unix milliseconds. */
export interface ControlFollowerOptions {
	readonly entry: Omit<EntryHost, 'leaving'>;
	readonly voters: () => readonly string[];
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;

	readonly sections?: ReadonlyArray<FollowerSection<any, any>>;
}

/** Longest time in milliseconds for which a proposal is repeated: the bound for a change to be in force everywhere. */
const proposeDeadlineMs = 11_000;
/** First time-out in milliseconds of a renewal that looks for the leader and is not held. */
const findTimeoutMs = 500;

/** Of renewals that fail in a row, each of this many is logged. */
const loggedFailures = 10;

/** Keeps the control state and the lease of this daemon up to date with the leader. */
export class ControlFollower implements Disposable {
	readonly link: LeaderLink;
	private readonly _replica: ControlReplica;
	private readonly _sections: FollowerSections;
	private readonly _stop = new AbortController();
	private readonly _onIncarnation = new Emitter<number>();
	private readonly _onSuperseded = new Emitter<void>();
	private _incarnation: number;
	private _isLeaving = false;
	private _hadLease = false;
	private _confirmMs = minRenewIntervalMs;
	/** Renewals that failed in a row. */
	private _failures = 0;

	constructor(private readonly _options: ControlFollowerOptions) {
		const {transport, voters, clock, random, entry, logger} = _options;
		this._sections = new FollowerSections(logger);
		this._incarnation = entry.incarnation;
		this.link = new LeaderLink(transport, voters, clock, random);
		this._replica = new ControlReplica(clock);
		this._replica.lease.onGained(() => {
			this._hadLease = true;
		});
	}

	/** The applied control state. */
	get view(): ControlView {
		return this._replica.state;
	}

	get lease(): ConfigLease {
		return this._replica.lease;
	}

	/** Index up to which the log is applied. */
	get applied(): number {
		return this._replica.applied;
	}

	/** Incarnation under which this process is known. */
	get incarnation(): number {
		return this._incarnation;
	}

	/** This process as it joins the directory. */
	get entry(): EntryHost {
		return {...this._options.entry, incarnation: this._incarnation, leaving: this._isLeaving};
	}

	get onRevision(): Event<number> {
		return this._replica.onRevision;
	}

	get onLeaseGained(): Event<void> {
		return this._replica.lease.onGained;
	}

	get onLeaseLost(): Event<void> {
		return this._replica.lease.onLost;
	}

	/** Raised with a new incarnation after the earlier one has expired; records of the earlier one are fenced. */
	get onIncarnation(): Event<number> {
		return this._onIncarnation.event;
	}

	/** Raised when a later process runs under the name of this host; this one gets no more leases. */
	get onSuperseded(): Event<void> {
		return this._onSuperseded.event;
	}

	/** Highest incarnation of a backend server that has left or expired; undefined when none is remembered. */
	goneBackend(id: string): number | undefined {
		return this._replica.state.goneBackend(id);
	}

	/** Adds a part of the renewal. */
	addSection<Request, Reply>(section: FollowerSection<Request, Reply>): Disposable {
		return this._sections.add(section);
	}

	/** Starts to renew. */
	start(): void {
		void this._run();
	}

	/** Joins the directory as leaving from now on, also after an expiry. */
	setLeaving(): void {
		this._isLeaving = true;
	}

	/**
	Proposes a command. It is repeated until its outcome is known; commands of operators carry a change id, and commands
	of the directory an incarnation, so that a repetition has no second effect.

	@throws PeerCallError when the leader refuses the command.
	@throws ControlUnavailableError when the outcome is unknown.
	*/
	async propose(command: ControlCommand, deadlineMs = proposeDeadlineMs): Promise<ControlResult> {
		return this.link.request(proposeMethod, {command}, {attemptMs: proposeTimeoutMs, deadlineMs});
	}

	/** Stops to renew and gives the lease up. Resolves when the leader knows; without a leader the lease runs out there. */
	async release(): Promise<void> {
		this._stop.abort();
		this._replica.lease.end();
		const {host, incarnation} = this.entry;
		try {
			await this.link.request(releaseMethod, {host, incarnation}, {attemptMs: proposeTimeoutMs, deadlineMs: leaseMs});
		} catch (error) {
			this._options.logger.warn({host, err: error}, 'could not release the lease');
		}
	}

	dispose(): void {
		this._stop.abort();
		this._replica.dispose();
		this._onIncarnation.dispose();
		this._onSuperseded.dispose();
	}

	private async _run(): Promise<void> {
		const {clock, logger} = this._options;
		const {signal} = this._stop;
		while (!signal.aborted) {
			const sentAt = clock.now();
			let nextAt = sentAt + renewIntervalMs;
			try {
				// eslint-disable-next-line no-await-in-loop -- renewals follow each other
				nextAt = await this._renew(sentAt);
			} catch (error) {
				// A listener has failed; the renewals must go on.
				logger.error({err: error}, 'a listener of a renewal has failed');
			}

			// eslint-disable-next-line no-await-in-loop -- waits for the next renewal
			await sleep(clock, Math.max(0, nextAt - clock.now()), signal);
		}
	}

	/** Renews once. @returns the time at which to renew again. */
	private async _renew(sentAt: number): Promise<number> {
		const {clock, counters} = this._options;
		const {term, applied} = this._replica;
		const isFinding = this.link.failures > 0;
		const sent = this._sections.collect(term);
		let reply: RenewReply;
		try {
			reply = await this.link.attempt(renewMethod, {
				host: this._options.entry.host, incarnation: this._incarnation, applied, holdMs: isFinding ? 0 : renewHoldMs, parts: partsOf(sent),
			}, (isFinding ? findTimeoutMs : renewTimeoutMs) * this.link.timeoutFactor);
		} catch (error) {
			counters.increment('control.renewal-failures');
			this._noteFailure(error);
			return clock.now() + Math.max(minRenewIntervalMs, this.link.backoffMs);
		}

		if (this._stop.signal.aborted || !this._replica.accept(reply, sentAt)) {
			return clock.now() + minRenewIntervalMs;
		}

		if (reply.refusal) {
			const hasJoined = await this._join(reply.refusal);
			return clock.now() + (hasJoined ? 0 : minRenewIntervalMs);
		}

		this._failures = 0;
		this._sections.acknowledge(reply.term, sent, reply.parts);
		return sentAt + this._nextIntervalMs(this.applied > applied);
	}

	/** What was applied is confirmed at once, because a revision is in force only then; in a burst of commits later and later. */
	private _nextIntervalMs(hasNews: boolean): number {
		if (!hasNews) {
			this._confirmMs = minRenewIntervalMs;
			return renewIntervalMs;
		}

		const intervalMs = this._confirmMs;
		this._confirmMs = Math.min(2 * intervalMs, maxConfirmIntervalMs);
		return intervalMs;
	}

	/** Logs the first of failures in a row and then some of them: a lost leader makes many. */
	private _noteFailure(error: unknown): void {
		if (this._failures % loggedFailures === 0) {
			this._options.logger.warn({
				failures: this._failures + 1, applied: this.applied, leaseLeftMs: Math.round(this.lease.expiresAt - this._options.clock.now()), err: error,
			}, 'renewal failed');
		}

		this._failures++;
	}

	private async _join({code, incarnation}: RenewRefusal): Promise<boolean> {
		const {clock, logger, entry: {host}} = this._options;
		this._replica.lease.end();
		if (code === 'superseded' && this._hadLease) {
			logger.error({host, incarnation}, 'another process runs under the name of this entry host');
			this._stop.abort();
			this._onSuperseded.fire();
			return false;
		}

		if (code !== 'not-joined') {
			// After a step back of the wall clock the start time may be below a known incarnation.
			this._incarnation = Math.max(Math.floor(clock.wallTime()), incarnation + 1);
			this._onIncarnation.fire(this._incarnation);
		}

		try {
			await this.propose({type: 'entry-joined', entry: this.entry});
			logger.info({host, incarnation: this._incarnation}, 'joined the directory');
			return true;
		} catch (error) {
			logger.warn({host, err: error}, 'could not join the directory');
			return false;
		}
	}
}
