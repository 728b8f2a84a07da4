import {type AddressCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Logger} from '../base/logger.js';
import {backendKey} from '../control/backend-server.js';
import {type ControlState} from '../control/control-state.js';
import {type ServerCrash} from './crash-report.js';

/** A report of a host, with the time of the end. */
export interface EndReport {
	readonly crash: ServerCrash;
	readonly at: number;
}

/** Dependencies of `EndedServers`. */
export interface EndedServersOptions {
	readonly state: ControlState;
	readonly addresses: AddressCheck;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Called with the reports of processes that have ended. */
	readonly onEnded: (reports: readonly EndReport[]) => void;
}

type Reported = {
	readonly since: number;
	readonly address: string | undefined;
	readonly waiting: EndReport[];
	hasEnded: boolean;
};

/** Time in milliseconds after a report in which the directory may show that the process was replaced. */
const pendingMs = 10_000;
/** Time in milliseconds for which it is remembered that a process has ended; reports of other hosts arrive within a renewal. */
const retentionMs = 60_000;

/**
Decides, at the leader, which of the reported processes have ended. A host that has lost its links takes servers that go on for
ended ones, so a report counts only if the leader itself finds the address closed, or the directory lists a later process there.
*/
export class EndedServers {
	private readonly _reported = new Map<string, Reported>();

	constructor(private readonly _options: EndedServersOptions) {}

	/** Adds the report of a host. */
	report(crash: ServerCrash): void {
		const now = this._options.clock.now();
		const at = now - crash.agoMs;
		let reported = this._reported.get(crash.server);
		if (!reported) {
			reported = {
				since: now, address: crash.address ?? this._listedAddress(crash.server), waiting: [], hasEnded: false,
			};
			this._reported.set(crash.server, reported);
			void this._check(crash.server, reported);
		}

		if (reported.hasEnded) {
			this._options.onEnded([{crash, at}]);
		} else {
			reported.waiting.push({crash, at});
		}
	}

	/** Looks for processes that were replaced since they were reported. */
	sweep(): void {
		const now = this._options.clock.now();
		for (const [server, reported] of this._reported) {
			if (!reported.hasEnded && this._isReplaced(server, reported)) {
				this._confirm(server, reported, 'replaced');
			}

			if (now - reported.since > (reported.hasEnded ? retentionMs : pendingMs)) {
				this._reported.delete(server);
			}
		}
	}

	clear(): void {
		this._reported.clear();
	}

	private async _check(server: string, reported: Reported): Promise<void> {
		const {addresses, logger} = this._options;
		if (this._isReplaced(server, reported)) {
			this._confirm(server, reported, 'replaced');
			return;
		}

		const isRefused = await addresses.refusesConnections(reported.address!);
		// A new process may have opened the address meanwhile.
		if (isRefused || this._isReplaced(server, reported)) {
			this._confirm(server, reported, isRefused ? 'refused' : 'replaced');
		} else {
			logger.info({server, address: reported.address, hasEnded: false}, 'reported end of a server checked');
		}
	}

	private _confirm(server: string, reported: Reported, evidence: string): void {
		this._options.logger.info({
			server, address: reported.address, hasEnded: true, evidence,
		}, 'reported end of a server checked');
		reported.hasEnded = true;
		this._options.onEnded(reported.waiting.splice(0));
	}

	private _listedAddress(key: string): string | undefined {
		return [...this._options.state.backendServers.values()].find(server => backendKey(server) === key)?.address;
	}

	/** Whether the directory lists a later process at the address, or no process with the key whose address is unknown. */
	private _isReplaced(key: string, {address}: Reported): boolean {
		if (address === undefined) {
			return true;
		}

		const current = [...this._options.state.backendServers.values()].find(server => server.address === address);
		return current !== undefined && backendKey(current) !== key;
	}
}
