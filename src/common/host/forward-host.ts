import {type AddressCheck, type ConnectionCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {type HeldBytes} from '../base/held-bytes.js';
import {type Event} from '../base/event.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type TextCodec} from '../base/text-codec.js';
import {ControlFollower} from '../control/control-follower.js';
import {leaseMs} from '../control/control-times.js';
import {serviceRolloutState} from '../control/service-rollout.js';
import {type EntryHost} from '../control/entry-host.js';
import {hasUnequalCapacities} from '../control/unequal-capacities.js';
import {KnownVoters} from '../control/voters-section.js';
import {type BackendPort} from '../forwarding/backend-port.js';
import {type ColdBounds, SharedColdServers} from '../forwarding/cold-servers.js';
import {FleetRepeatBudget, type RepeatLimit} from '../forwarding/fleet-repeat-budget.js';
import {Forwarder} from '../forwarding/forwarder.js';
import {type ForwardState} from '../forwarding/forward-services.js';
import {type RequestDigest} from '../forwarding/request-digest.js';
import {LoadAwareCascade} from '../forwarding/load-aware-cascade.js';
import {ModelSpeeds} from '../forwarding/model-speeds.js';
import {CrashRecorder} from '../crashes/crash-recorder.js';
import {PlaceQueue} from '../forwarding/place-queue.js';
import {AffinityPlacement} from '../forwarding/placement.js';
import {PeerHosts} from '../forwarding/peer-hosts.js';
import {ServerReach} from '../forwarding/server-reach.js';
import {RouteTable} from '../forwarding/route-table.js';
import {type RoutingConfig} from '../forwarding/routing-config.js';
import {ServerPool} from '../forwarding/server-pool.js';
import {SlackShare} from '../forwarding/slack-share.js';
import {UrgencyOrder} from '../forwarding/urgency-order.js';
import {ReleaseRecorder} from '../release/release-recorder.js';
import {StickySessions} from '../release/sticky-sessions.js';
import {ReceivedWeights} from '../speeds/received-weights.js';
import {SpeedReporter} from '../speeds/speed-reporter.js';
import {TrialSessions} from '../release/trial-sessions.js';
import {ColdServerLog} from './cold-server-log.js';

/** Minimum confidence of an accepted answer of a small model; docs/platform-measurements.md has the side-by-side measurement. */
const acceptedConfidence = 55;
/** Safety factor on the expected times of the largest model's answers, so that few of them are late. */
const latencyMargin = 1;

/** Options of `ForwardHost`. */
export interface ForwardHostOptions {
	readonly entry: Omit<EntryHost, 'leaving'>;
	/** Peer names of control hosts from the settings. */
	readonly seeds: () => readonly string[];
	readonly clock: Clock;
	/** Clock that steps of the time of day do not advance, for times that must not end early; `clock` when undefined. */
	readonly steadyClock?: Clock | undefined;
	readonly random: RandomSource;
	readonly transport: PeerTransport;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly port: BackendPort;
	/** Sends requests to other entry hosts. */
	readonly peerPort: BackendPort;
	readonly addresses: AddressCheck & ConnectionCheck;
	readonly digests: RequestDigest;
	/** Parses a routing configuration, which was validated when it was submitted. */
	readonly parseRouting: (source: string) => RoutingConfig;
	/** Codec of the contents of routing configurations; the same as that of the control hosts. */
	readonly codec: TextCodec;
	/** Limits the bytes that are held for callers and backend servers. */
	readonly held: HeldBytes;
	/** Limit on the repeats of the requests of a service over all hosts together. */
	readonly repeatLimit: RepeatLimit;
	/** Maximum time in milliseconds from the acknowledgement of a configuration until all hosts act by it. */
	readonly configurationBoundMs: number;
	/** Time in milliseconds after a request for which its session counts as active. */
	readonly sessionMs: number;
	/** What cold servers bear beyond their stated rate; undefined without limits for them. */
	readonly coldBounds?: ColdBounds | undefined;
	/**
	Whether callers compete for insufficient capacity: the expected times of models follow the load of the engines, and requests
	that wait for a connection are tried by urgency and by turns of the customers. False by default.
	*/
	readonly followsLoad?: boolean;
}

/** An entry host that forwards requests by the routing configuration: a control follower and a forwarder with their shared state. */
export class ForwardHost implements Disposable {
	readonly forwarder: Forwarder;
	readonly follower: ControlFollower;
	private readonly _store = new DisposableStore();
	private readonly _pool = new ServerPool();
	private readonly _places: PlaceQueue;
	private readonly _peers: PeerHosts;
	private readonly _voters: KnownVoters;
	private readonly _recorder: ReleaseRecorder;
	private readonly _trialSessions = new TrialSessions();
	private readonly _budgets = new Map<string, FleetRepeatBudget>();
	private readonly _slackShare: SlackShare;
	private readonly _cold: SharedColdServers;
	private readonly _coldLog: ColdServerLog;
	private readonly _serverSpeeds: SpeedReporter;
	private _evacuatedZones: ReadonlySet<string> = new Set();
	private readonly _onRouting = this._store.add(new Emitter<RoutingConfig>());
	private readonly _onServers = this._store.add(new Emitter<ReadonlySet<string>>());
	private readonly _onPeers = this._store.add(new Emitter<ReadonlySet<string>>());
	private _table: RouteTable | undefined;
	private _routingRevision = -1;
	private _appliedAt = -Infinity;
	private _hostIndex = 0;

	constructor(private readonly _options: ForwardHostOptions) {
		const {
			entry, seeds, clock, random, counters, logger, port, peerPort, addresses, digests,
		} = _options;
		this._voters = new KnownVoters(seeds);
		this._peers = new PeerHosts(entry.host);
		this._places = this._store.add(new PlaceQueue(clock, _options.followsLoad ? () => new UrgencyOrder() : undefined));
		this._slackShare = new SlackShare(clock, leaseMs, leaseMs + _options.repeatLimit.windowMs);
		this._coldLog = new ColdServerLog(logger);
		this._cold = new SharedColdServers(entry.host, _options.steadyClock ?? clock, service => this._coldLimit(service));
		this.follower = this._store.add(new ControlFollower({..._options, voters: () => this._voters.hosts, sections: []}));
		this._recorder = this._store.add(new ReleaseRecorder(service => {
			const rollout = this.follower.view.serviceRollouts.get(service);
			return rollout?.state === serviceRolloutState.inProgress ? rollout.revision : undefined;
		}));
		this._store.add(this._recorder.onBacklog(() => {
			this.follower.renewNow();
		}));
		this._store.add(this.follower.addSection(this._voters));
		this._store.add(this.follower.addSection(this._recorder));
		const sessions = new StickySessions(clock, _options.sessionMs, session => this._trialSessions.mayMove(session));
		this._store.add(this.follower.addSection(sessions));
		const crashes = this._store.add(new CrashRecorder({..._options, quarantinedRequests: () => this.follower.view.quarantinedRequests.keys()}));
		this._store.add(this.follower.addSection(crashes));
		const weights = new ReceivedWeights();
		this._serverSpeeds = new SpeedReporter(clock, weights);
		this._store.add(this.follower.addSection(this._serverSpeeds));
		this._store.add(this.follower.onRevision(() => {
			this._applyRevision();
			this._places.releaseAll();
		}));
		this._store.add(this.follower.onLeaseGained(() => {
			logger.info({revision: this.follower.applied}, 'lease gained');
			this._cold.recordLeaseGained();
			this.forwarder.forwardWaiting();
		}));
		this._store.add(this.follower.onConfirmed(() => {
			this.forwarder.forwardWaiting();
		}));
		this._store.add(this.follower.onLeaseLost(() => {
			logger.warn({revision: this.follower.applied}, 'lease lost, requests are refused');
		}));
		this.forwarder = new Forwarder({
			zone: entry.zone,
			clock,
			logger,
			counters,
			lease: this.follower.lease,
			configurationBoundMs: _options.configurationBoundMs,
			confirmConfiguration: () => {
				this.follower.renewNow();
			},
			state: () => this._state(),
			pool: this._pool,
			port,
			peerPort,
			peers: this._peers,
			reach: this._store.add(new ServerReach({
				clock, logger, counters, addresses, pool: this._pool, random: () => random.next(),
			})),
			placement: new AffinityPlacement(random.fork('placement'), weights),
			places: this._places,
			cold: this._cold,
			held: _options.held,
			speeds: new ModelSpeeds(_options.followsLoad),
			serverSpeeds: this._serverSpeeds,
			models: new LoadAwareCascade(acceptedConfidence, latencyMargin),
			observer: this._recorder,
			crashes,
			digests,
			sessions,
			budget: service => this._budget(service),
			random: () => random.next(),
		});
	}

	/** Whether requests are served: there is a configuration and a lease. */
	get isReady(): boolean {
		return this._table !== undefined && this.follower.lease.isValid();
	}

	/** Version of the applied routing configuration and the time in milliseconds since it was applied; undefined before the first one. */
	get configuration(): {readonly version: number; readonly ageMs: number} | undefined {
		return this._table && {version: this._table.cfg.version, ageMs: Math.round(this._options.clock.now() - this._appliedAt)};
	}

	/** Raised with each new routing configuration. */
	get onRouting(): Event<RoutingConfig> {
		return this._onRouting.event;
	}

	/** Raised with the addresses of all backend servers when the directory has changed. */
	get onServers(): Event<ReadonlySet<string>> {
		return this._onServers.event;
	}

	/** Raised with the addresses of the other entry hosts when the directory has changed. */
	get onPeers(): Event<ReadonlySet<string>> {
		return this._onPeers.event;
	}

	start(): void {
		this.follower.start();
	}

	dispose(): void {
		this._store.dispose();
	}

	private _state(): ForwardState {
		const {view} = this.follower;
		return {
			table: this._table, rollouts: view.serviceRollouts, quarantinedParts: view.quarantinedParts, quarantinedRequests: view.quarantinedRequests, hostCount: view.entryHosts.size, hostIndex: this._hostIndex,
		};
	}

	private _budget(service: string): FleetRepeatBudget {
		let budget = this._budgets.get(service);
		if (!budget) {
			budget = new FleetRepeatBudget(this._options.clock, this._options.repeatLimit, () => this._slackShare.value);
			this._budgets.set(service, budget);
		}

		return budget;
	}

	/** Number of requests that a cold server of a service bears in any second; undefined without a limit. */
	private _coldLimit(service: string): number | undefined {
		const {coldBounds} = this._options;
		const perSecond = this._table?.services.get(service)?.coldPerSecond;
		return perSecond === undefined || !coldBounds ? undefined : (perSecond * coldBounds.overrun) + coldBounds.slack;
	}

	private _applyEvacuations(): void {
		const {logger, counters} = this._options;
		const {evacuatedZones, revision} = this.follower.view;
		if (evacuatedZones === this._evacuatedZones) {
			return;
		}

		const isChanged = evacuatedZones.size !== this._evacuatedZones.size || [...evacuatedZones].some(zone => !this._evacuatedZones.has(zone));
		this._evacuatedZones = evacuatedZones;
		if (isChanged) {
			counters.gauge('forward.evacuated-zones', evacuatedZones.size);
			logger.info({zones: [...evacuatedZones], revision}, 'evacuated zones changed');
		}
	}

	private _applyRevision(): void {
		const {logger, parseRouting} = this._options;
		const {view} = this.follower;
		this._trialSessions.update(view);
		this._applyEvacuations();
		this._pool.update(view.backendServers.values(), this._options.clock.now(), this._evacuatedZones);
		// Among equal machines the servers are taken to be equal, and requests stay with the servers that keep their prompt parts.
		this._serverSpeeds.isActive = hasUnequalCapacities(view.entryHosts.values());
		this._coldLog.update(view.backendServers.values(), view.revision);
		const listedIncarnation = view.entryHosts.get(this._options.entry.host)?.incarnation;
		this._cold.update(view.entryHosts.values(), listedIncarnation === this.follower.incarnation ? listedIncarnation : undefined);
		this._hostIndex = Math.max(0, [...view.entryHosts.keys()].sort().indexOf(this._options.entry.host));
		this._onServers.fire(new Set([...view.backendServers.values()].map(({address}) => address)));
		this._peers.update(view.entryHosts.values());
		this._slackShare.update(view.entryHosts.size, view.entryHosts.get(this._options.entry.host)?.incarnation === this._options.entry.incarnation);
		this._onPeers.fire(this._peers.addresses);
		const {routing} = view;
		if (routing && routing.revision !== this._routingRevision) {
			this._routingRevision = routing.revision;
			try {
				this._table = new RouteTable(parseRouting(routing.source));
				this._appliedAt = this._options.clock.now();
			} catch (error) {
				// Another release of this program accepted a configuration that this one cannot read. Requests must not be served under the previous one.
				this._table = undefined;
				logger.error({version: routing.version, err: error}, 'routing configuration cannot be read');
				return;
			}

			logger.info({version: routing.version, revision: routing.revision, routes: this._table.cfg.routes.length}, 'routing configuration applied');
			this._onRouting.fire(this._table.cfg);
			this.forwarder.forwardWaiting();
		}
	}
}
