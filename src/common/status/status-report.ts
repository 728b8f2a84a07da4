import {type LogStatus} from './log-status.js';

/** State of one daemon, for operators. */
export interface StatusReport {
	readonly host: string;
	readonly zone: string;
	readonly incarnation: number;
	/** Last index of the control log that this daemon has applied. */
	readonly revision: number;
	readonly hasLease: boolean;
	readonly draining: boolean;
	readonly activeRequests: number;
	readonly entryHosts: number;
	readonly backendServers: number;
	readonly services: number;
	readonly ratingAvailable: boolean;
	/** State of the log members on a host with a data folder. */
	readonly control?: LogStatus;
	readonly ledger?: LogStatus;
}
