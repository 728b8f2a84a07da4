import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type PeerCaller} from '../base/peer-caller.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {plainTextCodec, type TextCodec} from '../base/text-codec.js';
import {checkDocument} from '../documents/parse-document.js';
import {ControlCatchUp} from './control-catch-up.js';
import {evacuationVersion} from './command-versions.js';
import {type ControlCommand} from './control-command.js';
import {CallerGoneError, CommandNotAllowedError} from './control-errors.js';
import {ControlLeadership} from './control-leadership.js';
import {
	commitIndexMethod, endHoldMethod, inForceMethod, overviewMethod, proposeMethod, releaseMethod, renewMethod,
} from './control-methods.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {
	configurationBoundMarginMs, defaultConfigurationBoundMs, leaderLeaseMs, leaseMs, maxDrift, maxRenewHoldMs, wakeIntervalMsPerHost,
} from './control-times.js';
import {EntryExpirer} from './entry-expirer.js';
import {type InForceReply} from './in-force.js';
import {type LeaderOverview} from './leader-overview.js';
import {LeaseTable} from './lease-table.js';
import {type LeaderSection, type RenewalSender, senderKey} from './leader-section.js';
import {LeaderSections} from './leader-sections.js';
import {
	type NewestRouting, type RenewRefusal, type RenewReply, type RenewRequest,
} from './renew-message.js';
import {RoutingContents} from './routing-contents.js';
import {RoutingProposals} from './routing-proposals.js';
import {RoutingSpread} from './routing-spread.js';
import {Waiters} from './waiters.js';
import {WakeSchedule} from './wake-schedule.js';

/** Options of `ControlService`. `state` is the state machine of the log. */
export interface ControlServiceOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Codec of the control state; texts stay as they are by default. */
	readonly codec?: TextCodec | undefined;
	/** Time in milliseconds after its acknowledgement at which a routing configuration must be in force. */
	readonly configurationBoundMs?: number | undefined;
	readonly sections?: ReadonlyArray<LeaderSection<any, any>>;
}

/** Commands that only the leader itself proposes. */
const leaderCommands = new Set<ControlCommand['type']>(['entry-expired', 'backend-expired', 'next-fencing', 'rollout-step', 'burn-sums', 'service-rollout-step', 'backend-silent', 'quarantine-part', 'lift-part-quarantine', 'quarantine-request', 'lift-request-quarantine', 'servers-warm']);

/** Leader side of configuration, directory and leases. Runs on every voter and acts while that voter leads. */
export class ControlService implements Disposable {
	readonly leadership: ControlLeadership;
	private readonly _store = new DisposableStore();
	private readonly _sections: LeaderSections;
	private readonly _leases = new LeaseTable();
	private readonly _waiters: Waiters;
	private readonly _wakeSchedule: WakeSchedule;
	private readonly _catchUp: ControlCatchUp;
	private readonly _routingSpread: RoutingSpread;
	private readonly _routingContents: RoutingContents;
	private readonly _routingProposals: RoutingProposals;
	/** Maximum time in milliseconds for which a daemon may act by a routing configuration that has been replaced. */
	private readonly _maxReplacedMs: number;

	constructor(private readonly _options: ControlServiceOptions) {
		const {
			log, state, transport, clock, counters, logger, codec = plainTextCodec, configurationBoundMs = defaultConfigurationBoundMs,
		} = _options;
		this._maxReplacedMs = configurationBoundMs - configurationBoundMarginMs;
		this._sections = new LeaderSections(logger, counters);
		this._waiters = this._store.add(new Waiters(clock));
		this._wakeSchedule = this._store.add(new WakeSchedule(clock, () => Math.min(maxRenewHoldMs, this._leases.size * wakeIntervalMsPerHost), () => {
			this._waiters.wakeInSlices();
		}));
		this._catchUp = new ControlCatchUp(log, state);
		this._routingContents = this._store.add(new RoutingContents({
			log, state, transport, clock, codec, isLeading: () => this.leadership.period !== undefined,
		}));
		this._routingProposals = new RoutingProposals(log, state, codec);
		this._routingSpread = new RoutingSpread(this._leases, counters, logger);
		this.leadership = this._store.add(new ControlLeadership(transport.self, log, clock, logger));
		this._store.add(this.leadership.onStart(() => {
			this._leases.clear();
			this._sections.reset();
		}));
		this._store.add(this.leadership.onEnd(() => {
			this._routingSpread.stop();
			this._waiters.wake();
		}));
		this._store.add(log.onApplied(({index}) => {
			if (state.routing?.revision === index && this.leadership.period) {
				this._routingSpread.start(state.routing, clock.now());
			}

			this._wakeSchedule.request();
		}));
		this._store.add(new EntryExpirer({
			log, state, clock, logger, leadership: this.leadership, leases: this._leases,
		}));
		this._store.add(transport.handle(renewMethod, async (req, _from, caller) => this._renew(req, caller)));
		this._store.add(transport.handle(proposeMethod, async ({command}) => this._propose(command)));
		this._store.add(transport.handle(releaseMethod, async sender => this._release(sender)));
		this._store.add(transport.handle(endHoldMethod, async sender => {
			this._waiters.wakeOne(senderKey(sender));
			return true;
		}));
		this._store.add(transport.handle(overviewMethod, async () => this.overview()));
		this._store.add(transport.handle(commitIndexMethod, async () => {
			this.leadership.requirePeriod();
			return {commitIndex: log.commitIndex};
		}));
		this._store.add(transport.handle(inForceMethod, async ({revision}) => this.inForce(revision)));
	}

	/** Adds a section to the renewals. */
	addSection<Request, Reply>(section: LeaderSection<Request, Reply>): Disposable {
		return this._sections.add(section);
	}

	/**
	Tells whether a revision is in force, that is, whether each entry host has applied it or holds no valid lease.

	@throws NotLeaderError while this host must not act as leader.
	*/
	inForce(revision: number): InForceReply {
		const {oldLeasesEndAt} = this.leadership.requirePeriod();
		const now = this._options.clock.now();
		const committed = revision <= this._options.log.commitIndex;
		const behind = this._leases.behind(revision, now);
		const oldLeasesEndInMs = Math.max(0, oldLeasesEndAt - now);
		return {
			revision, inForce: committed && behind.length === 0 && oldLeasesEndInMs === 0, committed, oldLeasesEndInMs, behind,
		};
	}

	/**
	Describes this leader and the daemons that renew at it.

	@throws NotLeaderError while this host must not act as leader.
	*/
	overview(): LeaderOverview {
		const {term} = this.leadership.requirePeriod();
		const {log, transport, clock} = this._options;
		return {
			leader: transport.self, term, commitIndex: log.commitIndex, daemons: this._leases.overview(clock.now()),
		};
	}

	dispose(): void {
		this._store.dispose();
	}

	private async _renew(req: RenewRequest, caller: PeerCaller): Promise<RenewReply> {
		const {term} = this.leadership.requirePeriod();
		const {log, clock, counters} = this._options;
		const receivedAt = clock.now();
		counters.increment('control.renewals');
		if (!this._refusal(req)) {
			// A daemon that lacks several configurations reports an index between them.
			const replacement = req.routing === undefined ? undefined : this._routingContents.replacementOf(req.routing);
			this._leases.recordRenewal(req, Math.min(req.applied, (replacement?.revision ?? Infinity) - 1), clock.now());
			this._routingSpread.check(clock.now());
			this._sections.receive(req, req.parts);
		}

		// While a burst of changes is joined, a daemon that lacks entries waits as well, unless it needs a lease.
		const hasLease = (this._leases.leaseEnd(req) ?? 0) > receivedAt;
		if (req.holdMs > 0 && (req.applied === log.commitIndex || (this._wakeSchedule.isPending && hasLease)) && !this._refusal(req)) {
			await this._waiters.wait(Math.min(req.holdMs, maxRenewHoldMs), senderKey(req));
		}

		if (caller.isGone) {
			// A lease that nobody receives would only delay the moment from which changes are in force.
			counters.increment('control.abandoned-renewals');
			throw new CallerGoneError(`${req.host} has given up its renewal`);
		}

		// The clock of the leader may run faster than that of the daemon, and counts forward steps of the time of day. The time is taken before the state is read.
		const heldMs = Math.min(Math.max(0, req.holdMs), maxRenewHoldMs, Math.floor((clock.now() - receivedAt) * (1 - (2 * maxDrift))));
		return {...this._reply(req, term), heldMs};
	}

	/** Builds the reply synchronously, so that the lease, the commit index and the entries are consistent with each other. */
	private _reply(req: RenewRequest, term: number): RenewReply {
		const period = this.leadership.requirePeriod();
		const {log, clock, counters} = this._options;
		const withRouting = req.routing === undefined;
		const {lastIndex: reached, ...catchUp} = this._catchUp.after(withRouting ? req.applied : req.received ?? req.applied, withRouting);
		const {commitIndex} = log;
		counters.increment('control.entries-sent', catchUp.entries.length);
		const refusal = this._refusal(req);
		const mayGrant = !refusal && !this._leases.isReleased(req) && period.term === term && reached === commitIndex;
		const grantedMs = mayGrant ? this._grant(req, clock.now()) : 0;
		const parts = refusal ? {} : this._sections.reply(req, grantedMs > 0);
		return {
			term: period.term, granted: grantedMs > 0, leaseMs: grantedMs, refusal, ...catchUp, commitIndex, routing: this._newestRouting(req, clock.now()), parts,
		};
	}

	/** Grants a lease to a daemon that applies the rest of the log with the reply. @returns its duration in milliseconds; 0 when there is none. */
	private _grant(req: RenewRequest, now: number): number {
		const {log, state} = this._options;
		if (req.routing === undefined || req.routing >= (state.routing?.revision ?? 0)) {
			this._leases.recordGrant(req, log.commitIndex, now + leaderLeaseMs);
			return leaseMs;
		}

		const replacement = this._routingContents.replacementOf(req.routing);
		// A later change of the directory or of evacuations reaches the daemon within the duration of a lease, however late configurations may be in force.
		const leftMs = replacement ? Math.min(leaseMs, replacement.at + this._maxReplacedMs - now) : 0;
		// Without the time of the commit, the configuration may have been replaced long ago.
		if (!replacement?.isCommitTime || leftMs <= 0) {
			return 0;
		}

		this._leases.recordGrant(req, replacement.revision - 1, now + (leftMs * (1 + maxDrift)));
		return leftMs;
	}

	private _newestRouting(req: RenewRequest, now: number): NewestRouting | undefined {
		const {routing} = this._options.state;
		if (!routing || req.routing === undefined) {
			return undefined;
		}

		const {version, revision} = routing;
		const replacement = this._routingContents.replacementOf(req.routing);
		return {
			version, revision, replacedForMs: replacement?.isCommitTime ? now - replacement.at : undefined, leftMs: replacement && replacement.at + this._maxReplacedMs - now,
		};
	}

	private _refusal({host, incarnation}: RenewRequest): RenewRefusal | undefined {
		const {state} = this._options;
		const current = state.entryHosts.get(host)?.incarnation;
		if (current === incarnation) {
			return undefined;
		}

		if (current !== undefined && current > incarnation) {
			return {code: 'superseded', incarnation: current};
		}

		const expired = state.expiredEntryIncarnation(host) ?? -1;
		return {code: expired >= incarnation ? 'expired' : 'not-joined', incarnation: expired};
	}

	private async _release({host, incarnation}: RenewalSender): Promise<{released: boolean}> {
		this.leadership.requirePeriod();
		const {log, clock} = this._options;
		this._leases.recordRelease({host, incarnation});
		const {status} = await log.propose({
			type: 'entry-expired', host, incarnation, at: clock.wallTime(),
		});
		return {released: status === 'accepted'};
	}

	private async _propose(command: ControlCommand): Promise<ControlResult> {
		this.leadership.requirePeriod();
		if (leaderCommands.has(command.type)) {
			throw new CommandNotAllowedError(`${command.type} is proposed by the leader only`);
		}

		const {log, clock} = this._options;
		if (command.type === 'entry-joined') {
			// The host renews only after it has learnt of its join. Without a recorded renewal it would expire at once.
			this._leases.recordRenewal(command.entry, 0, clock.now());
		}

		if (command.type === 'submit-document') {
			return log.propose({...command, document: checkDocument(command.document)});
		}

		if (command.type === 'apply-routing') {
			return this._routingProposals.propose(command);
		}

		if ((command.type === 'evacuate-zone' || command.type === 'end-evacuation') && log.repliedCommandVersion < evacuationVersion) {
			throw new CommandNotAllowedError('a member of the control group runs a release that does not know evacuations');
		}

		if (command.type === 'backend-joined' && command.server.coldMs !== undefined && log.repliedCommandVersion < evacuationVersion) {
			// Members of an earlier release would not mark the server, nor take the mark back.
			const {coldMs: _, ...server} = command.server;
			return log.propose({...command, server, at: clock.wallTime()});
		}

		// The age of tombstones is measured by a single clock, that of the leader.
		return log.propose('at' in command ? {...command, at: clock.wallTime()} : command);
	}
}
