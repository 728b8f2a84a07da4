import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type TextCodec} from '../common/base/text-codec.js';
import {type BackendLoad} from '../common/control/backend-load.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type ControlCommand} from '../common/control/control-command.js';
import {type ControlFollower} from '../common/control/control-follower.js';
import {ControlNode} from '../common/control/control-node.js';
import {type ControlResult} from '../common/control/control-result.js';
import {type ControlService} from '../common/control/control-service.js';
import {ControlState} from '../common/control/control-state.js';
import {checkDocument} from '../common/documents/parse-document.js';
import {type ServiceDocument} from '../common/documents/service-document.js';
import {DriftingClock} from './drifting-clock.js';
import {ManualClock} from './manual-clock.js';
import {MemoryNetwork} from './memory-network.js';
import {SharedLog, type SharedLogView} from './shared-log.js';

/** One daemon of a `ControlCluster`. */
export interface ClusterDaemon extends Disposable {
	readonly clock: DriftingClock;
	readonly node: ControlNode;
	readonly follower: ControlFollower;
	/** Present on voters. */
	readonly service?: ControlService;
	readonly log?: SharedLogView<ControlCommand, ControlResult>;
}

/** Options of a daemon of a `ControlCluster`. */
export interface DaemonSettings {
	/** Rate of the host's clock relative to the clock of the cluster. */
	readonly rate?: number;
	readonly zone?: string;
	/** Codec of routing contents, which are then fetched apart from the renewals. */
	readonly codec?: TextCodec;
	/** Time in milliseconds after its acknowledgement at which a routing configuration must be in force, on voters. */
	readonly configurationBoundMs?: number;
	/** Wraps the transport of the follower, for example to alter replies. */
	readonly alterTransport?: (transport: PeerTransport, clock: Clock) => PeerTransport;
}

/** Daemons with the control service and follower that share one network, clock and log. The voters are `v1` to `v3`. */
export class ControlCluster implements Disposable {
	/** Starts the voters and the given other daemons, and elects the first voter. */
	static async start(others: readonly string[] = [], seed = 1): Promise<ControlCluster> {
		const cluster = new ControlCluster(seed);
		for (const host of [...cluster.voters, ...others]) {
			cluster.add(host);
		}

		cluster.log.elect('v1');
		await cluster.clock.advance(1500);
		return cluster;
	}

	readonly clock = new ManualClock();
	readonly network: MemoryNetwork;
	readonly log = new SharedLog<ControlCommand, ControlResult>();
	readonly voters = ['v1', 'v2', 'v3'];
	/** Backend servers that do not answer health probes. */
	readonly deadBackends = new Set<string>();
	readonly daemons = new Map<string, ClusterDaemon>();
	private readonly _random: SeededRandom;

	constructor(seed = 1) {
		this._random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this._random.fork('network'));
	}

	/** Starts a daemon and replaces an earlier one with the same name. */
	add(host: string, settings: DaemonSettings = {}): ClusterDaemon {
		this.stop(host);
		const clock = new DriftingClock(this.clock, settings.rate ?? 1);
		const transport = this.network.attach(host);
		const random = this._random.fork(`${host}-${this.clock.now()}`);
		const voter = this.voters.includes(host) ? this._addVoter(host) : undefined;
		const node = new ControlNode({
			entry: {
				host, incarnation: clock.wallTime(), address: `${host}:80`, peerAddress: `${host}:90`, zone: settings.zone ?? 'zone-a',
			},
			voters: () => this.voters,
			transport,
			renewalTransport: settings.alterTransport?.(transport, clock),
			clock,
			random,
			counters: nullCounters,
			logger: nullLogger,
			prober: {probe: async server => !this.deadBackends.has(server.id)},
			voter,
			codec: settings.codec,
			configurationBoundMs: settings.configurationBoundMs,
		});
		const daemon = {
			clock,
			node,
			follower: node.follower,
			service: node.service,
			log: voter?.log,
			dispose() {
				node.dispose();
				transport.dispose();
			},
		};
		this.daemons.set(host, daemon);
		node.follower.start();
		return daemon;
	}

	daemon(host: string): ClusterDaemon {
		return this.daemons.get(host)!;
	}

	/** Stops a daemon as a crash does: it notifies nobody. */
	stop(host: string): void {
		this.daemons.get(host)?.dispose();
		this.daemons.delete(host);
	}

	/** Partitions a host from all others. */
	isolate(host: string): void {
		this.network.partition([host], [...this.daemons.keys()].filter(other => other !== host));
	}

	/** Advances the clock until a promise settles. */
	async settle<T>(promise: Promise<T>, limitMs = 20_000): Promise<T> {
		let isSettled = false;
		const mark = async () => {
			await Promise.allSettled([promise]);
			isSettled = true;
		};

		void mark();
		await this.clock.advanceUntil(() => isSettled, limitMs);
		if (!isSettled) {
			throw new Error(`not settled within ${limitMs} ms`);
		}

		return promise;
	}

	dispose(): void {
		for (const host of this.daemons.keys()) {
			this.stop(host);
		}
	}

	private _addVoter(host: string) {
		const state = new ControlState();
		const log = this.log.addView(host, state);
		log.catchUp();
		log.updateRole();
		return {log, state};
	}
}

/** A document of a model service. */
export function testDocument(service: string, versions: readonly string[] = ['small@1', 'large@1'], target = 0.5): ServiceDocument {
	return checkDocument({
		service, versions, customers: [{name: 'acme', keySha256: 'a'.repeat(64)}], quality: {target, confidence: 0.95},
	});
}

/** A model engine that offers a version. */
export function testServer(id: string, incarnation = 1, zone = 'zone-a', versions: readonly string[] = ['small@1']): BackendServer {
	return {
		id,
		incarnation,
		address: `${id}:80`,
		zone,
		kind: 'engine',
		offers: versions.map(ref => ({ref, inputCost: 1, outputCost: 2})),
		services: [],
		checksFencing: false,
		checksSender: false,
		capacity: 32,
	};
}

/** The load of an idle backend server. */
export const idleLoad: BackendLoad = {
	running: 0, queued: 0, queuedTokens: 0, prefillRate: 0, decodeRate: 0,
};
