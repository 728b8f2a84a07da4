import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type TextCodec} from '../base/text-codec.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {BackendMonitor} from './backend-monitor.js';
import {BackendObserver} from './backend-observer.js';
import {type BackendProber} from './backend-prober.js';
import {BackendRegistrar} from './backend-registrar.js';
import {ControlClient} from './control-client.js';
import {type ControlCommand} from './control-command.js';
import {ControlFollower} from './control-follower.js';
import {type ControlResult} from './control-result.js';
import {ControlService} from './control-service.js';
import {type ControlState} from './control-state.js';
import {EntryDrain} from './entry-drain.js';
import {type EntryHost} from './entry-host.js';
import {EntryList} from './entry-list.js';
import {LoadExchange} from './load-exchange.js';
import {LoadReporter} from './load-reporter.js';
import {SubsetPlanner} from './subset-planner.js';

/** The control log of a voter with its state machine. */
export interface VoterLog {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
}

/** Options of `ControlNode`. */
export interface ControlNodeOptions {
	readonly entry: Omit<EntryHost, 'leaving'>;
	readonly voters: () => readonly string[];
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly prober: BackendProber;
	/** Present on voters. */
	readonly voter?: VoterLog;
	/** Transport for the renewals; `transport` when undefined. */
	readonly renewalTransport?: PeerTransport;
	readonly keepSeconds?: number;
	/** Codec of routing contents, which are then fetched apart from the renewals. */
	readonly codec?: TextCodec | undefined;
	/** Time in milliseconds after its acknowledgement at which a routing configuration must be in force. */
	readonly configurationBoundMs?: number | undefined;
}

/** Control components of one daemon: the follower, the directory and, on voters, the service. */
export class ControlNode implements Disposable {
	readonly follower: ControlFollower;
	readonly client: ControlClient;
	readonly registrar: BackendRegistrar;
	readonly observer: BackendObserver;
	readonly loads: LoadReporter;
	readonly entryList: EntryList;
	readonly drain: EntryDrain;
	readonly service?: ControlService;
	private readonly _store = new DisposableStore();

	constructor(options: ControlNodeOptions) {
		const {clock, logger, prober, voter} = options;
		this.follower = this._store.add(new ControlFollower({...options, transport: options.renewalTransport ?? options.transport}));
		const {follower} = this;
		this.client = new ControlClient(follower.leaderClient, clock);
		this.registrar = this._store.add(new BackendRegistrar(follower, clock));
		this.observer = new BackendObserver(this.registrar, prober, follower.view);
		this.loads = new LoadReporter(this.registrar, clock);
		follower.addSection(this.observer);
		follower.addSection(this.loads);
		this.entryList = new EntryList(follower.view, follower.lease, {keepSeconds: options.keepSeconds});
		this.drain = new EntryDrain({
			follower, client: this.client, clock, logger, keepSeconds: this.entryList.keepSeconds,
		});
		this.service = voter && this._createService(options, voter);
	}

	dispose(): void {
		this._store.dispose();
	}

	private _createService(options: ControlNodeOptions, {log, state}: VoterLog): ControlService {
		const {clock, random, logger} = options;
		const service = this._store.add(new ControlService({...options, log, state}));
		const monitor = this._store.add(new BackendMonitor({
			view: state,
			isLeading: () => service.leadership.period !== undefined,
			propose: async command => log.propose(command),
			clock,
			random: random.fork('backend-monitor'),
			logger,
		}));
		service.addSection(monitor);
		const planner = this._store.add(new SubsetPlanner(state, clock));
		service.addSection(this._store.add(new LoadExchange(planner, monitor, state, clock)));
		return service;
	}
}
