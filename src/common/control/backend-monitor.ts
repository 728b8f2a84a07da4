import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type RandomSource} from '../base/random-source.js';
import {type BackendObservation, type BackendRef} from './backend-observation.js';
import {observationSection} from './backend-sections.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {backendExpiryMs, backendSilentMs, renewIntervalMs} from './control-times.js';
import {type ControlView} from './control-view.js';
import {type LeaderSection, type RenewalSender} from './leader-section.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** Dependencies of `BackendMonitor`. */
export interface BackendMonitorOptions {
	readonly view: Pick<ControlView, 'backendServers' | 'entryHosts'>;
	/** Whether this host acts as leader. */
	readonly isLeading: () => boolean;
	readonly propose: (command: ControlCommand) => Promise<ControlResult>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
}

/** State of one backend server; the maps hold the time of the last report by host. */
type TrackedServer = {incarnation: number; announcedAt: number; silenceReports: Map<string, number>; failureReports: Map<string, number>; prober?: string; proberChosenAt: number};

const sweepIntervalMs = 250;
/** Time in milliseconds after which a prober that has not reported a failure is replaced by another. */
const proberTimeoutMs = 1500;

/** Expires silent backend servers on the leader: once a second host reports a failure, or after 10 s without an announcement to any host. */
export class BackendMonitor implements LeaderSection<readonly BackendObservation[], readonly BackendRef[]>, Disposable {
	readonly section = observationSection;
	private readonly _tracked = new Map<string, TrackedServer>();
	/** Ids of the backend servers that an entry host is asked to probe. */
	private readonly _probeTargets = new Set<string>();
	private readonly _expiring = new Set<string>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: BackendMonitorOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, stalledAt => {
			if (_options.isLeading()) {
				this._check(stalledAt);
			}
		});
	}

	reset(): void {
		this._tracked.clear();
		this._probeTargets.clear();
	}

	/** Records that a home host received an announcement; `at` is a time of the leader's clock. */
	recordAnnouncement(ref: BackendRef, at: number): void {
		const tracked = this._track(ref);
		if (tracked) {
			tracked.announcedAt = Math.max(tracked.announcedAt, at);
		}
	}

	receive(sender: RenewalSender, observations: readonly BackendObservation[]): void {
		const now = this._options.clock.now();
		for (const observation of observations) {
			const tracked = this._track(observation);
			(observation.kind === 'silent' ? tracked?.silenceReports : tracked?.failureReports)?.set(sender.host, now);
		}
	}

	reply(sender: RenewalSender): readonly BackendRef[] | undefined {
		// Runs for each renewal, so its cost must not depend on the number of backend servers.
		const probes: BackendRef[] = [];
		for (const id of this._probeTargets) {
			const tracked = this._tracked.get(id);
			if (tracked?.prober === sender.host) {
				probes.push({id, incarnation: tracked.incarnation});
			}
		}

		return probes.length > 0 ? probes : undefined;
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _track({id, incarnation}: BackendRef): TrackedServer | undefined {
		if (this._options.view.backendServers.get(id)?.incarnation !== incarnation) {
			return undefined;
		}

		let tracked = this._tracked.get(id);
		if (tracked?.incarnation !== incarnation) {
			// Silence counts from now, because this leader has no reports from before.
			tracked = {
				incarnation, announcedAt: this._options.clock.now(), silenceReports: new Map(), failureReports: new Map(), proberChosenAt: 0,
			};
			this._tracked.set(id, tracked);
		}

		return tracked;
	}

	private _check(stalledAt: number): void {
		const {view, clock} = this._options;
		const now = clock.now();
		for (const id of this._tracked.keys()) {
			if (!view.backendServers.has(id)) {
				this._tracked.delete(id);
				this._probeTargets.delete(id);
			}
		}

		for (const server of view.backendServers.values()) {
			const tracked = this._track(server)!;
			const silentMs = now - Math.max(tracked.announcedAt, stalledAt);
			if (silentMs < backendSilentMs) {
				tracked.silenceReports.clear();
				tracked.failureReports.clear();
				this._probeTargets.delete(server.id);
				continue;
			}

			if (silentMs >= backendExpiryMs || hasSecondObserver(tracked, now)) {
				void this._expire(server);
			} else if (tracked.silenceReports.size > 0 && now - tracked.proberChosenAt >= proberTimeoutMs) {
				tracked.proberChosenAt = now;
				tracked.prober = this._chooseProber(tracked);
				this._probeTargets.add(server.id);
			}
		}
	}

	/** A random entry host that has not reported the silence itself. */
	private _chooseProber(tracked: TrackedServer): string | undefined {
		const hosts = [...this._options.view.entryHosts.values()].filter(({host, leaving}) => !leaving && !tracked.silenceReports.has(host));
		return hosts[this._options.random.integer(hosts.length)]?.host;
	}

	private async _expire({id, incarnation}: BackendRef): Promise<void> {
		const {propose, logger, clock} = this._options;
		if (this._expiring.has(id)) {
			return;
		}

		this._expiring.add(id);
		try {
			await propose({
				type: 'backend-expired', id, incarnation, at: clock.wallTime(),
			});
			logger.warn({id, incarnation}, 'backend server expired');
		} catch (error) {
			logger.warn({id, incarnation, err: error}, 'backend server could not be expired');
		} finally {
			this._expiring.delete(id);
		}
	}
}

/** Whether one host has recently reported silence and another one a failure. */
function hasSecondObserver({silenceReports, failureReports}: TrackedServer, now: number): boolean {
	const isRecent = (at: number) => now - at < backendSilentMs + renewIntervalMs;
	return [...silenceReports].some(([home, silentAt]) => isRecent(silentAt)
		&& [...failureReports].some(([host, failedAt]) => host !== home && isRecent(failedAt)));
}
