import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {type BackendServer} from './backend-server.js';
import {evacuationVersion} from './command-versions.js';
import {type ColdServer, type ControlCommand} from './control-command.js';
import {type ControlLeadership} from './control-leadership.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** Dependencies of `ColdServerWatch`. */
export interface ColdServerWatchOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: Pick<ControlLeadership, 'period'>;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the time in milliseconds for which a server of a service is cold after its start. */
	readonly coldStartMs: (service: string) => number;
}

const sweepIntervalMs = 100;
/** Difference in milliseconds from which an announced time is a new one and not the rest of the time that is known, which arrives late. */
const newTimeMs = 500;
/** Time in milliseconds by which a mark outlasts its time: a server that turned cold again up to `newTimeMs` later gets no new mark. */
const marginMs = newTimeMs;

/** Tracks the marks of cold backend servers, on each member by its own clock, and takes them back at the leader when their time is over. */
export class ColdServerWatch implements Disposable {
	/** Times at which this host first saw a mark, by process and mark. */
	private _markedAt = new Map<string, number>();
	private readonly _proposed = new Set<string>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: ColdServerWatchOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, () => {
			this._update();
		});
	}

	/**
	Whether a process that now says that it is cold for `coldMs` must be marked for longer than it is. One in an evacuated zone
	need not be: it gets no requests, may say so in each heartbeat, and is marked when the evacuation ends.
	*/
	isColdForLonger(known: BackendServer, coldMs: number): boolean {
		if (this._options.state.evacuatedZones.has(known.zone)) {
			return false;
		}

		return known.coldSince === undefined || this._options.clock.now() + coldMs > this._endOf(known) + newTimeMs;
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _update(): void {
		const {state, leadership, clock, log} = this._options;
		const cold = [...state.backendServers.values()].filter(({coldSince}) => coldSince !== undefined);
		if (cold.length === 0) {
			this._markedAt.clear();
			return;
		}

		const now = clock.now();
		this._markedAt = new Map(cold.map(server => [markKey(server), this._markedAt.get(markKey(server)) ?? now]));
		const warm = cold.filter(server => this._endOf(server) + marginMs <= now && !this._proposed.has(markKey(server)));
		// Members of an earlier release ignore the command; those marks stay until the last one is replaced.
		if (leadership.period && warm.length > 0 && log.repliedCommandVersion >= evacuationVersion) {
			void this._propose(warm.map(({id, incarnation, coldSince}) => ({id, incarnation, coldSince: coldSince!})));
		}
	}

	private _endOf(server: BackendServer): number {
		const {clock, coldStartMs} = this._options;
		const markedAt = this._markedAt.get(markKey(server)) ?? clock.now();
		return markedAt + (server.coldMs ?? Math.max(0, ...server.services.map(service => coldStartMs(service))));
	}

	private async _propose(servers: readonly ColdServer[]): Promise<void> {
		const {log, logger} = this._options;
		const keys = servers.map(server => markKey(server));
		for (const key of keys) {
			this._proposed.add(key);
		}

		try {
			await log.propose({type: 'servers-warm', servers});
			logger.info({servers: servers.map(({id}) => id)}, 'backend servers are warm');
		} catch (error) {
			logger.warn({servers: servers.length, err: error}, 'marks of cold backend servers could not be taken back');
		} finally {
			for (const key of keys) {
				this._proposed.delete(key);
			}
		}
	}
}

function markKey({id, incarnation, coldSince}: Pick<BackendServer, 'id' | 'incarnation' | 'coldSince'>): string {
	return `${id}#${incarnation}#${coldSince}`;
}
