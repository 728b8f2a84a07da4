import {renewalSection} from '../control/renewal-section.js';

/** A process of a backend server that ended while it ran requests of a host. */
export interface ServerCrash {
	/** Key of the process. */
	readonly server: string;
	/** Absent from hosts with an earlier release. */
	readonly address?: string;
	/** Time in milliseconds between the end and this report. */
	readonly agoMs: number;
	/** Shared parts of the prompts that the process ran, with the number of requests. */
	readonly parts: ReadonlyArray<readonly [part: string, requests: number]>;
	/** Requests that the process ran: digest, and the shared parts that are not known to be sound. Absent from hosts with an earlier release. */
	readonly requests?: readonly SuspectRequest[];
}

/** A request that a server ran when it ended. */
export type SuspectRequest = readonly [digest: string, ...parts: string[]];

/** What an entry host reports about ended servers and prompts; changes since the last report. */
export interface CrashReport {
	readonly crashes: readonly ServerCrash[];
	/** Shared parts of prompts with complete answers. */
	readonly sound: readonly string[];
	/** Parts under quarantine that requests have come with. */
	readonly refused: readonly string[];
	/** Digests under quarantine of requests that this host has complete answers to. Absent from hosts with an earlier release. */
	readonly soundRequests?: readonly string[];
}

/** Section of the renewals with the crash reports. */
export const crashSection = renewalSection<CrashReport, never>('crashes');

/** Time in milliseconds for which a complete answer shows that its request and the parts of its prompt are sound. */
export const soundMs = 30_000;
