import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {backendKey, type BackendServer} from '../control/backend-server.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {DecayedMean} from './decayed-mean.js';
import {ServerSpeed} from './server-speed.js';
import {ServiceSpeeds} from './service-speeds.js';
import {
	maxItems, minPartIntervalMs, processNumber, type SpeedItem, type SpeedReply, type SpeedReport, speedSection, type WeightItem, weightStep,
} from './speed-messages.js';

/** Dependencies of `SpeedEstimates`. */
export interface SpeedEstimatesOptions {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly counters: Counters;
	/** The control state of this host. */
	readonly state: {readonly backendServers: ReadonlyMap<string, BackendServer>};
}

/** A host that reports. */
type Reporter = {
	at: number;
	repliedAt: number;
	/** Number of the last change that the host has. */
	seen: number;
	/** Mean of what the host reports beyond the estimates: positive for a host that expects shorter times than others. */
	readonly bias: DecayedMean;
};

/** Minimum interval in milliseconds between two evaluations of all servers. */
const evaluateIntervalMs = 200;
/** Interval in milliseconds at which old counts of hosts are dropped. At each evaluation, this took most of the leader's time with 370 hosts and 690 servers. */
const pruneIntervalMs = 5000;
/** Half-life in milliseconds of what a host reports beyond the estimates, and the number of observations by which it is drawn to 0. */
const bias = {halfLifeMs: 10_000, prior: 2} as const;
/** Time in milliseconds after its last report for which a host is known. */
const reporterRetentionMs = 10_000;
/** Largest number of observations of a process in one report that count. */
const maxCount = 16;
/** Largest logarithm of a ratio that counts: a factor of 9. */
const maxRatio = Math.log(9);

/** Estimates at the leader how fast each server is, from the reports of all entry hosts, and sends them the weights that have changed. */
export class SpeedEstimates implements LeaderSection<SpeedReport, SpeedReply> {
	readonly section = speedSection;
	private readonly _reporters = new Map<string, Reporter>();
	private readonly _servers = new Map<number, ServerSpeed>();
	private readonly _services = new Map<string, ServiceSpeeds>();
	/** Servers by the number of the last change of their weight, oldest first. */
	private readonly _changes = new Map<number, ServerSpeed>();
	private _sequence = 0;
	private _evaluatedAt = -Infinity;
	private _prunedAt = -Infinity;
	/** Processes of the directory by their numbers, and the time at which they were read. */
	private _listed = new Map<number, BackendServer>();
	private _listedAt = -Infinity;

	constructor(private readonly _options: SpeedEstimatesOptions) {}

	reset(): void {
		this._reporters.clear();
		this._servers.clear();
		this._services.clear();
		this._changes.clear();
		this._sequence = 0;
		this._listed.clear();
		this._listedAt = -Infinity;
	}

	receive({host}: RenewalSender, {seen, items}: SpeedReport): void {
		const {clock, counters} = this._options;
		const now = clock.now();
		const reporter = this._reporters.get(host) ?? {
			at: now, repliedAt: -Infinity, seen: 0, bias: new DecayedMean(bias.halfLifeMs, bias.prior),
		};
		this._reporters.set(host, reporter);
		reporter.at = now;
		reporter.seen = Number.isSafeInteger(seen) && seen <= this._sequence ? seen : 0;
		counters.increment('speeds.reports');
		for (const item of items.slice(0, maxItems.report)) {
			this._receiveItem(host, reporter, item, now);
		}
	}

	reply({host}: RenewalSender): SpeedReply | undefined {
		const now = this._options.clock.now();
		const reporter = this._reporters.get(host);
		if (!reporter || now - reporter.repliedAt < minPartIntervalMs) {
			return undefined;
		}

		reporter.repliedAt = now;
		this._evaluate(now);
		const weights: WeightItem[] = [];
		for (const [sequence, {number, level}] of this._changes) {
			if (sequence > reporter.seen) {
				if (weights.length === maxItems.reply) {
					return {upTo: sequence - 1, weights};
				}

				weights.push([number, level]);
			}
		}

		return {upTo: this._sequence, weights};
	}

	private _receiveItem(host: string, reporter: Reporter, [number, firstCount, first, paceCount, pace]: SpeedItem, now: number): void {
		const server = this._servers.get(number) ?? this._find(number, now);
		const service = server && this._services.get(server.service);
		if (!server || !service) {
			return;
		}

		for (const [signal, count, hundredths] of [['first', firstCount, first], ['pace', paceCount, pace]] as const) {
			if (count > 0 && Number.isFinite(hundredths)) {
				const ratio = Math.min(maxRatio, Math.max(-maxRatio, hundredths / 100));
				const counted = server.accept(signal, host, Math.min(maxCount, count), this._reporters.size, now);
				if (counted > 0) {
					const relative = ratio - reporter.bias.at(now);
					reporter.bias.add(ratio - server.signals[signal].at(now), counted, now);
					service.recordDifference(relative - server.signals[signal].at(now), counted, now);
					server.signals[signal].add(relative, counted, service.deviation(now), now);
				}
			}
		}
	}

	/** Finds a process of the directory by its number and begins to estimate its speed. */
	private _find(number: number, now: number): ServerSpeed | undefined {
		// Numbers that are not listed may be of servers that have just left; they must not cost a search each.
		if (!this._listed.has(number) && now - this._listedAt >= evaluateIntervalMs) {
			this._list(now);
		}

		const server = this._listed.get(number);
		if (!server) {
			return undefined;
		}

		const service = [...server.services].sort().join(' ');
		const speed = new ServerSpeed(backendKey(server), number, service);
		this._servers.set(number, speed);
		if (!this._services.has(service)) {
			this._services.set(service, new ServiceSpeeds());
		}

		return speed;
	}

	/** Reads the directory. */
	private _list(now: number): void {
		this._listed = new Map([...this._options.state.backendServers.values()].map(server => [processNumber(backendKey(server)), server]));
		this._listedAt = now;
	}

	/** Computes the weights of all servers from their estimates. */
	private _evaluate(now: number): void {
		if (now - this._evaluatedAt < evaluateIntervalMs) {
			return;
		}

		this._evaluatedAt = now;
		this._prune(now);
		for (const [name, service] of this._services) {
			const servers = [...this._servers.values()].filter(server => server.service === name);
			for (const server of service.changedServers(servers, now)) {
				this._changes.delete(server.changedAs);
				server.changedAs = ++this._sequence;
				this._changes.set(server.changedAs, server);
				this._options.counters.increment('speeds.weight-changes', 1, {service: name});
				this._log(server, now);
			}
		}
	}

	/** Logs changes of a weight by a factor of 1.5 or more since the last logged one. */
	private _log(server: ServerSpeed, now: number): void {
		const {level, key, service, loggedLevel} = server;
		if (Math.abs(level - loggedLevel) * weightStep >= Math.log(1.5)) {
			server.loggedLevel = level;
			const {first, pace} = server.signals;
			this._options.logger.info({
				server: key, service, weight: weightOf(level), previous: weightOf(loggedLevel), firstEventRatio: rounded(Math.exp(first.at(now))), paceRatio: rounded(Math.exp(pace.at(now))), observations: Math.round(first.weight(now)),
			}, 'weight of a server has changed');
		}
	}

	private _prune(now: number): void {
		if (now - this._prunedAt < pruneIntervalMs) {
			return;
		}

		this._prunedAt = now;
		for (const [host, {at}] of this._reporters) {
			if (now - at > reporterRetentionMs) {
				this._reporters.delete(host);
			}
		}

		this._list(now);
		for (const [number, server] of this._servers) {
			server.prune(now);
			if (!this._listed.has(number) && server.level === 0) {
				this._servers.delete(number);
				this._changes.delete(server.changedAs);
			}
		}
	}
}

function weightOf(level: number): number {
	return rounded(Math.exp(level * weightStep));
}

function rounded(value: number): number {
	return Number(value.toPrecision(3));
}
