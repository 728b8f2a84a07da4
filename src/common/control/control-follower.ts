import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';
import {type TextCodec} from '../base/text-codec.js';
import {type ConfigLease} from './config-lease.js';
import {type ControlCommand} from './control-command.js';
import {proposeMethod, releaseMethod, renewMethod} from './control-methods.js';
import {ControlReplica} from './control-replica.js';
import {type ControlResult} from './control-result.js';
import {
	leaseMs, minRenewIntervalMs, proposeTimeoutMs, maxRenewHoldMs, renewHoldMs, renewIntervalMs, renewNetworkMs,
} from './control-times.js';
import {type ControlView} from './control-view.js';
import {type EntryHost} from './entry-host.js';
import {FollowerSections, partsByName, type SentParts} from './follower-sections.js';
import {type FollowerSection} from './follower-section.js';
import {HeldRenewal} from './held-renewal.js';
import {LeaderClient} from './leader-client.js';
import {type RenewRefusal, type RenewReply} from './renew-message.js';
import {RenewalInterval} from './renewal-interval.js';
import {RoutingFetcher} from './routing-fetcher.js';

/** Options of `ControlFollower`. `entry` describes this process; its incarnation is the start time in Unix milliseconds. */
export interface ControlFollowerOptions {
	readonly entry: Omit<EntryHost, 'leaving'>;
	readonly voters: () => readonly string[];
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;

	/** Codec of the contents of routing configurations, which are then fetched apart from the renewals; without it they come with the renewals. */
	readonly codec?: TextCodec | undefined;

	readonly sections?: ReadonlyArray<FollowerSection<any, any>>;
}

/** Deadline in milliseconds of a proposal with its retries: the bound for a change to be in force everywhere. */
const proposeDeadlineMs = 11_000;
/** Initial timeout in milliseconds of a renewal sent while the leader is being discovered; the leader does not hold it. */
const discoveryTimeoutMs = 500;

/** Number of consecutive failed renewals for which one line is logged. */
const failuresPerLogLine = 10;

/** Renews the lease of this daemon at the leader and keeps the local control state up to date. */
export class ControlFollower implements Disposable {
	readonly leaderClient: LeaderClient;
	private readonly _replica: ControlReplica;
	private readonly _sections: FollowerSections;
	private readonly _fetcher: RoutingFetcher | undefined;
	private readonly _stop = new AbortController();
	/** Ends the wait for the next renewal. */
	private _wait = new AbortController();
	/** Whether the next renewal must not wait. */
	private _isUrgent = false;
	/** Whether the leader may hold the next renewal. */
	private _isHoldable = true;
	private readonly _held: HeldRenewal;
	private readonly _interval = new RenewalInterval();
	private readonly _onIncarnationChange = new Emitter<number>();
	private readonly _onSuperseded = new Emitter<void>();
	private _incarnation: number;
	private _isLeaving = false;
	private _hadLease = false;
	/** Consecutive failed renewals. */
	private _failures = 0;

	constructor(private readonly _options: ControlFollowerOptions) {
		const {transport, voters, clock, random, entry, logger} = _options;
		this._sections = new FollowerSections(logger, () => {
			this._hasten();
		});
		this._stop.signal.addEventListener('abort', () => {
			this._wait.abort();
		});
		this._incarnation = entry.incarnation;
		this._held = new HeldRenewal(transport, _options.counters);
		this.leaderClient = new LeaderClient(transport, voters, clock, random);
		this._replica = new ControlReplica(clock);
		this._replica.lease.onGained(() => {
			this._hadLease = true;
		});
		this._fetcher = _options.codec && this._createFetcher(_options.codec);
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

	/** Directory entry with which this process joins. */
	get entry(): EntryHost {
		return {...this._options.entry, incarnation: this._incarnation, leaving: this._isLeaving};
	}

	get onRevision(): Event<number> {
		return this._replica.onRevision;
	}

	get onLeaseGained(): Event<void> {
		return this._replica.lease.onGained;
	}

	/** Raised when the applied configuration was confirmed to be the newest one. */
	get onConfirmed(): Event<void> {
		return this._replica.lease.onConfirmed;
	}

	get onLeaseLost(): Event<void> {
		return this._replica.lease.onLost;
	}

	/** Raised with the new incarnation after the previous one has expired; records of the previous one are fenced. */
	get onIncarnationChange(): Event<number> {
		return this._onIncarnationChange.event;
	}

	/** Raised when a later process runs under the name of this host; this process gets no more leases. */
	get onSuperseded(): Event<void> {
		return this._onSuperseded.event;
	}

	/** Highest incarnation of a backend server that has left or expired; undefined without a tombstone. */
	removedBackendIncarnation(id: string): number | undefined {
		return this._replica.state.removedBackendIncarnation(id);
	}

	/** Adds a section to the renewals. */
	addSection<Request, Reply>(section: FollowerSection<Request, Reply>): Disposable {
		return this._sections.add(section);
	}

	/** Starts the renewals. */
	start(): void {
		void this._run();
	}

	/** Sends the next renewal as soon as possible; the leader does not hold it. */
	renewNow(): void {
		this._isHoldable = false;
		this._hasten();
	}

	/** Marks this process as leaving in every later join, for example when it rejoins after an expiry. */
	setLeaving(): void {
		this._isLeaving = true;
	}

	/**
	Proposes a command and retries until its outcome is known. Retries have no second effect, because operator commands
	carry a change id and directory commands an incarnation.

	@throws PeerCallError when the leader refuses the command.
	@throws ControlUnavailableError when the outcome is unknown.
	*/
	async propose(command: ControlCommand, deadlineMs = proposeDeadlineMs): Promise<ControlResult> {
		return this.leaderClient.request(proposeMethod, {command}, {attemptMs: proposeTimeoutMs, deadlineMs});
	}

	/** Stops the renewals and releases the lease. Resolves even if the leader cannot be reached; the lease then expires there. */
	async release(): Promise<void> {
		this._stop.abort();
		this._replica.lease.end();
		const {host, incarnation} = this.entry;
		try {
			await this.leaderClient.request(releaseMethod, {host, incarnation}, {attemptMs: proposeTimeoutMs, deadlineMs: leaseMs});
		} catch (error) {
			this._options.logger.warn({host, err: error}, 'could not release the lease');
		}
	}

	dispose(): void {
		this._stop.abort();
		this._fetcher?.dispose();
		this._replica.dispose();
		this._onIncarnationChange.dispose();
		this._onSuperseded.dispose();
	}

	private async _run(): Promise<void> {
		const {clock, logger} = this._options;
		const {signal} = this._stop;
		while (!signal.aborted) {
			const sentAt = clock.now();
			this._isUrgent = false;
			let nextAt = sentAt + renewIntervalMs;
			try {
				// eslint-disable-next-line no-await-in-loop -- renewals follow each other
				nextAt = await this._renew(sentAt);
			} catch (error) {
				// A listener threw; the renewals must continue.
				logger.error({err: error}, 'renewal listener failed');
			}

			if (!signal.aborted) {
				this._wait = new AbortController();
				/* eslint-disable no-await-in-loop -- waits for the next renewal */
				if (!this._isUrgent) {
					await sleep(clock, Math.max(0, nextAt - clock.now()), this._wait.signal);
				}

				if (this._isUrgent) {
					await sleep(clock, Math.max(0, sentAt + minRenewIntervalMs - clock.now()), signal);
				}
				/* eslint-enable no-await-in-loop */
			}
		}
	}

	/** Sends the next renewal as soon as possible, and ends the one that the leader holds. */
	private _hasten(): void {
		this._isUrgent = true;
		this._wait.abort();
		this._held.end(this.entry);
	}

	private _createFetcher(codec: TextCodec): RoutingFetcher {
		return new RoutingFetcher({
			...this._options,
			codec,
			leader: () => this.leaderClient.target,
			isSlow: host => this.leaderClient.isSlow(host),
			current: () => this.view.routing,
			onFetched: record => {
				this._replica.replaceRouting(record);
				this.renewNow();
			},
		});
	}

	/** Sends one renewal. @returns the time of the next renewal. */
	private async _renew(sentAt: number): Promise<number> {
		const {clock, counters} = this._options;
		const {term, reportedApplied: applied} = this._replica;
		const isDiscovering = this.leaderClient.failures > 0;
		const maxHoldMs = this._fetcher ? maxRenewHoldMs : renewHoldMs;
		const holdMs = isDiscovering || !this._isHoldable ? 0 : maxHoldMs;
		this._isHoldable = true;
		// A leader that may be short of time gets what the lease needs first; the sections follow with the next renewal.
		const sent: SentParts = isDiscovering ? new Map() : this._sections.collect(term);
		let reply: RenewReply;
		this._held.holder = holdMs > 0 ? this.leaderClient.target : undefined;
		try {
			reply = await this.leaderClient.attempt(renewMethod, {
				host: this._options.entry.host, incarnation: this._incarnation, applied, received: applied < this.applied ? this.applied : undefined, routing: this._fetcher && (this.view.routing?.revision ?? 0), holdMs, parts: partsByName(sent),
			}, (isDiscovering ? discoveryTimeoutMs : maxHoldMs + renewNetworkMs) * this.leaderClient.timeoutFactor);
		} catch (error) {
			counters.increment('control.renewal-failures');
			this._recordFailure(error);
			return clock.now() + Math.max(minRenewIntervalMs, this.leaderClient.backoffMs);
		} finally {
			this._held.holder = undefined;
		}

		if (this._stop.signal.aborted || !this._replica.accept(reply, sentAt)) {
			return clock.now() + minRenewIntervalMs;
		}

		if (this._replica.missingRouting !== undefined) {
			this._fetcher?.request(this._replica.missingRouting);
		}

		if (reply.refusal) {
			const hasJoined = await this._join(reply.refusal);
			return clock.now() + (hasJoined ? 0 : minRenewIntervalMs);
		}

		this._failures = 0;
		this._sections.acknowledge(reply.term, sent, reply.parts);
		return sentAt + this._interval.next(holdMs > 0, this.applied > applied);
	}

	/** Logs the first of consecutive failures and then one per `failuresPerLogLine`, because an unreachable leader causes many. */
	private _recordFailure(error: unknown): void {
		if (this._failures % failuresPerLogLine === 0) {
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
			// After the wall clock was set back, its time may be below the last known incarnation.
			this._incarnation = Math.max(Math.floor(clock.wallTime()), incarnation + 1);
			this._onIncarnationChange.fire(this._incarnation);
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
