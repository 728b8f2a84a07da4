import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {DisposableStore} from '../common/base/disposable-store.js';
import {type BackendServer, type Offer} from '../common/control/backend-server.js';
import {type VersionRef} from '../common/documents/version-ref.js';
import {createServices} from '../daemon/create-services.js';
import {Daemon} from '../daemon/daemon.js';
import {readSettings} from '../daemon/settings.js';
import {trueRating} from '../emulator/answer-model.js';
import {BackendAnnouncer} from '../emulator/backend-announcer.js';
import {EmulatedEngine, type EmulatedEngineOptions} from '../emulator/emulated-engine.js';
import {EmulatedPlainService} from '../emulator/emulated-plain-service.js';
import {EmulatedRatingService} from '../emulator/emulated-rating-service.js';
import {SystemClock} from '../node/system-clock.js';

/** An emulated engine that serves one version, with its prices. */
export interface EmbeddedEngine extends Partial<EmulatedEngineOptions> {
	readonly id: string;
	readonly ref: VersionRef;
	readonly skill: number;
	readonly inputCost: number;
	readonly outputCost: number;
	readonly canResume?: boolean;
}

/** Options of `EmbeddedSystem`. */
export interface EmbeddedOptions {
	readonly engines: readonly EmbeddedEngine[];
	/** Names of plain services. */
	readonly plainServices?: readonly string[];
	/** Number of backend servers of each plain service; 1 by default. */
	readonly plainServers?: number;
	/** Zone of each backend server by its id; `zone-0` by default. */
	readonly zones?: Readonly<Record<string, string>>;
	/** Number of daemons, 1 by default. Of three or more the first three are voters, otherwise only the first one. */
	readonly daemons?: number;
	readonly flags?: Readonly<Record<string, string>>;
	/** Secrets of the operator, backend and peer interfaces by environment variable. None by default, as loopback needs none. */
	readonly secrets?: Readonly<Record<string, string>>;
}

type AnnouncedServer = Pick<BackendServer, 'id' | 'address' | 'kind' | 'services' | 'canResume' | 'acceptsOrders'>;

/** Load that is announced for plain services, which do not report their load. */
const idleSource = {
	load: {
		running: 0, queued: 0, queuedTokens: 0, prefillRate: 1000, decodeRate: 1000,
	},
};
const startTimeoutMs = 20_000;

/** Runs daemons, emulated backend servers and a rating service in this process, with data in a temporary folder. */
export class EmbeddedSystem {
	/** Starts all parts and waits until each daemon has a lease and knows all backend servers. */
	static async start(options: EmbeddedOptions): Promise<EmbeddedSystem> {
		const system = new EmbeddedSystem(options, await mkdtemp(path.join(tmpdir(), 'catkinbeam-')));
		await system._startAll();
		return system;
	}

	readonly daemons: Daemon[] = [];
	readonly engines = new Map<string, EmulatedEngine>();
	/** Plain services by backend server id, such as `booking-1`. */
	readonly plainServices = new Map<string, EmulatedPlainService>();
	readonly announcers = new Map<string, BackendAnnouncer>();
	readonly ratings: EmulatedRatingService;
	private readonly _clock = new SystemClock();
	private readonly _store = new DisposableStore();
	private readonly _addresses = new Map<string, string>();

	private constructor(private readonly _options: EmbeddedOptions, private readonly _folder: string) {
		const skills = new Map(_options.engines.flatMap(({ref, skill, loadable = []}) => [[ref, skill] as const, ...loadable]));
		const skillOf = (attemptId: string) => skills.get(this._refs.get(attemptId) ?? '') ?? 0;
		this.ratings = new EmulatedRatingService(({prompt, attemptId}) => trueRating(prompt, skillOf(attemptId)));
	}

	/** Base URL of the caller interface of a daemon. */
	callerUrl(index = 0): string {
		return `http://${this.daemons[index]!.listeners.callerAddress}`;
	}

	/** Base URL of the control interface of a daemon. */
	controlUrl(index = 0): string {
		return `http://${this.daemons[index]!.listeners.controlAddress}`;
	}

	/** Stops all parts and removes the data folder. */
	async stop(): Promise<void> {
		for (const announcer of this.announcers.values()) {
			announcer.dispose();
		}

		for (const daemon of this.daemons) {
			daemon.dispose();
		}

		this._store.dispose();
		await rm(this._folder, {recursive: true, force: true});
	}

	private get _plainServers(): Array<{name: string; id: string}> {
		const {plainServices = [], plainServers = 1} = this._options;
		return plainServices.flatMap(name => Array.from({length: plainServers}, (_, index) => ({name, id: `${name}-${index + 1}`})));
	}

	/** Version that executed each attempt, by attempt id. */
	private get _refs(): ReadonlyMap<string, VersionRef> {
		const refs = new Map<string, VersionRef>();
		for (const engine of this.engines.values()) {
			for (const [attempt, ref] of engine.executedRefs) {
				refs.set(attempt, ref);
			}
		}

		return refs;
	}

	private async _startAll(): Promise<void> {
		await this.ratings.start();
		this._store.add(this.ratings);
		const hosts = Array.from({length: this._options.daemons ?? 1}, (_, index) => `entry-${index}`);
		const voters = hosts.slice(0, hosts.length >= 3 ? 3 : 1);
		this.daemons.push(...await Promise.all(hosts.map(async host => this._startDaemon(host, voters))));
		await this._until(() => this.daemons.every(daemon => daemon.status.hasLease));
		await this._startBackends();
		const expected = this._options.engines.length + this._plainServers.length;
		await this._until(() => this.daemons.every(daemon => daemon.status.backendServers === expected));
	}

	private async _startDaemon(host: string, voters: readonly string[]): Promise<Daemon> {
		const isVoter = voters.includes(host);
		const cfg = readSettings({
			host,
			zone: `zone-${host.at(-1)}`,
			callerListen: '127.0.0.1:0',
			controlListen: '127.0.0.1:0',
			// Placeholder ports: the operating system chooses the real ones, and `_addresses` maps host names to them.
			voters: voters.map((voter, index) => `${voter}=127.0.0.1:${index + 1}`).join(','),
			...(isVoter && {dataDir: path.join(this._folder, host), bootstrap: 'true'}),
			ratingUrl: this.ratings.url,
			logLevel: 'error',
			...this._options.flags,
		}, this._options.secrets ?? {});
		return Daemon.start(createServices(cfg, name => this._addresses.get(name)), ({controlAddress}) => {
			this._addresses.set(host, controlAddress);
		});
	}

	private async _startBackends(): Promise<void> {
		await Promise.all([
			...this._options.engines.map(async options => this._startEngine(options)),
			...this._plainServers.map(async server => this._startPlainService(server)),
		]);
	}

	private async _startEngine(options: EmbeddedEngine): Promise<void> {
		const engine = this._store.add(new EmulatedEngine(this._clock, {
			maxRunning: 16, prefillRate: 100_000, stepMs: 2, answerTokens: 12, cacheBlocks: 1000, skills: new Map([[options.ref, options.skill]]), ...options,
		}));
		await engine.start();
		this.engines.set(options.id, engine);
		await this._announce({
			id: options.id, address: engine.address, kind: 'engine', services: [], canResume: options.canResume, acceptsOrders: options.loadable !== undefined,
		}, engine, () => engine.refs.map(ref => ({ref, inputCost: options.inputCost, outputCost: options.outputCost})));
	}

	private async _startPlainService({name, id}: {name: string; id: string}): Promise<void> {
		const service = this._store.add(new EmulatedPlainService());
		await service.start();
		this.plainServices.set(id, service);
		await this._announce({
			id, address: service.address, kind: 'plain', services: [name],
		}, idleSource, () => []);
	}

	private async _announce(server: AnnouncedServer, source: {readonly load: EmulatedEngine['load']}, offers: () => Offer[]): Promise<void> {
		const incarnation = this._clock.wallTime();
		const announcer = new BackendAnnouncer({
			server: () => ({
				...server, offers: offers(), incarnation, zone: this._options.zones?.[server.id] ?? 'zone-0', checksFencing: true, checksSender: false, capacity: 16,
			}),
			load: () => source.load,
			controlAddresses: [...this._addresses.values()],
			secret: this._options.secrets?.CATKINBEAM_BACKEND_SECRET,
			clock: this._clock,
		});
		this.announcers.set(server.id, announcer);
		await announcer.start();
	}

	private async _until(condition: () => boolean): Promise<void> {
		const end = this._clock.now() + startTimeoutMs;
		while (!condition()) {
			if (this._clock.now() > end) {
				throw new Error('the embedded system did not start in time');
			}

			// eslint-disable-next-line no-await-in-loop -- polls until the condition holds
			await wait(10);
		}
	}
}
