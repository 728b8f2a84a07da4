import {type Disposable} from '../../src/common/base/disposable.js';
import {type RandomSource} from '../../src/common/base/random-source.js';
import {type BackendServer} from '../../src/common/control/backend-server.js';
import {type BackendSelector, type SelectionRequest} from '../../src/common/routing/backend-selector.js';
import {commonRates, EngineModel, type EngineRates} from './engine-model.js';
import {type Simulation} from './simulation.js';
import {type TrafficRequest} from './traffic.js';

/** Entry host with its zone and its selector. */
export type EntryModel = {readonly zone: string; readonly selector: BackendSelector};

/** Receives the outcome of a request; each method is called at most once. */
export interface RequestListener {
	/** The first token arrived `delayMs` after the request was sent. */
	onFirstToken(delayMs: number): void;
	/** The answer is complete, or all attempts failed. */
	onEnd(isAnswered: boolean): void;
}

type SentRequest = {readonly req: TrafficRequest; readonly entry: EntryModel; readonly listener: RequestListener; readonly startedAt: number};

/** Period and delay of load reports: a report is 0.5 s old on arrival and 1.5 s when the next one arrives, 1 s on average. */
const reportMs = 1000;
const reportDelayMs = 500;
/** Cache events arrive up to 3 s late; one in ten is lost. */
const eventDelayMs = 3000;
const eventLossProbability = 0.1;
/** Interval at which an attempt checks whether its engine has stopped, and time until the directory drops a stopped engine. */
const failureCheckMs = 500;
const expiryMs = 4000;
/** One-way network delay within a zone and between zones. */
const sameZoneMs = 0.2;
const otherZoneMs = 1;
const maxAttempts = 3;

/** Availability zones of the model. */
export const zones = ['a', 'b', 'c'] as const;

/** Simulated engines in three zones that send load reports and cache events to all entry hosts. */
export class ClusterModel {
	readonly entries: EntryModel[] = [];
	private readonly _engines = new Map<string, EngineModel>();
	private _servers: BackendServer[] = [];

	constructor(private readonly _simulation: Simulation, private readonly _random: RandomSource, speeds: readonly number[], rates: EngineRates = commonRates) {
		for (const [index, speed] of speeds.entries()) {
			const id = `e${index}`;
			const engine = new EngineModel(_simulation, {...rates, speed});
			this._engines.set(id, engine);
			this._servers.push({
				id, incarnation: 1, address: `${id}:1`, zone: zones[index % zones.length]!, kind: 'engine', offers: [], services: [], checksFencing: true, checksSender: true, capacity: rates.capacity,
			});
			_simulation.setTimer(_random.next() * reportMs, () => {
				this._report(id, engine, 1);
			});
		}
	}

	/** Sum of the capacities of the engines in the directory. */
	get capacity(): number {
		return this._servers.reduce((sum, server) => sum + server.capacity, 0);
	}

	/** Stops all engines of a zone without notice; the directory drops them after `expiryMs`. */
	failZone(zone: string): void {
		for (const server of this._servers) {
			if (server.zone === zone) {
				this._engines.get(server.id)!.fail();
			}
		}

		this._simulation.setTimer(expiryMs, () => {
			this._servers = this._servers.filter(server => this._engines.get(server.id)!.isUp);
		});
	}

	/** Sends a request through an entry host. */
	send(req: TrafficRequest, entry: EntryModel, listener: RequestListener): void {
		this._attempt({
			req, entry, listener, startedAt: this._simulation.now(),
		}, {...req, maxTokens: req.outputTokens, exclude: new Set()});
	}

	private _attempt(sent: SentRequest, selection: SelectionRequest): void {
		const {req, entry, listener} = sent;
		const server = selection.exclude.size < maxAttempts ? entry.selector.select(selection, this._servers) : undefined;
		if (!server) {
			listener.onEnd(false);
			return;
		}

		const sentAt = this._simulation.now();
		const dispatch = entry.selector.dispatch(selection, server);
		const delayMs = server.zone === entry.zone ? sameZoneMs : otherZoneMs;
		const engine = this._engines.get(server.id)!;
		const failureCheck = this._detectFailure(engine, () => {
			dispatch.finish({failed: true, outputTokens: 0});
			this._attempt(sent, {...selection, exclude: new Set([...selection.exclude, server.id])});
		});
		const afterDelay = (callback: () => void) => () => {
			this._simulation.setTimer(delayMs, callback);
		};

		this._simulation.setTimer(delayMs, () => {
			engine.submit({
				...req,
				onFirstToken: afterDelay(() => {
					failureCheck.dispose();
					dispatch.firstToken(this._simulation.now() - sentAt);
					listener.onFirstToken(this._simulation.now() - sent.startedAt);
				}),
				onEnd: afterDelay(() => {
					dispatch.finish({failed: false, outputTokens: req.outputTokens});
					listener.onEnd(true);
				}),
			});
		});
	}

	/** Checks periodically whether the engine has stopped, and calls `onFailed` once it has; disposed of at the first token. */
	private _detectFailure(engine: EngineModel, onFailed: () => void): Disposable {
		const check = () => {
			if (engine.isUp) {
				timer = this._simulation.setTimer(failureCheckMs, check);
			} else {
				onFailed();
			}
		};

		let timer = this._simulation.setTimer(failureCheckMs, check);
		return {
			dispose() {
				timer.dispose();
			},
		};
	}

	private _report(id: string, engine: EngineModel, sequence: number): void {
		if (!engine.isUp) {
			return;
		}

		const report = engine.report();
		const event = {sequence, ...engine.takeCacheChanges()};
		this._simulation.setTimer(reportDelayMs, () => {
			for (const {selector} of this.entries) {
				selector.reportLoad(id, 1, report);
			}
		});
		this._simulation.setTimer(this._random.next() * eventDelayMs, () => {
			for (const {selector} of this.entries) {
				if (this._random.next() >= eventLossProbability) {
					selector.reportCache(id, 1, event);
				}
			}
		});
		this._simulation.setTimer(reportMs, () => {
			this._report(id, engine, sequence + 1);
		});
	}
}
