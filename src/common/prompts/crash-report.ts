import {renewalSection} from '../control/renewal-section.js';

/** A process of a backend server that ended while it ran requests of a host. */
export interface ServerCrash {
	/** Key of the process. */
	readonly server: string;
	/** Time in milliseconds between the end and this report. */
	readonly agoMs: number;
	/** Shared parts of the prompts that the process ran, with the number of requests. */
	readonly parts: ReadonlyArray<readonly [part: string, requests: number]>;
}

/** What an entry host reports about ended servers and prompts; changes since the last report. */
export interface CrashReport {
	readonly crashes: readonly ServerCrash[];
	/** Shared parts of prompts with complete answers. */
	readonly sound: readonly string[];
	/** Parts under quarantine that requests have come with. */
	readonly refused: readonly string[];
}

/** Section of the renewals with the crash reports. */
export const crashSection = renewalSection<CrashReport, never>('crashes');

/** Time in milliseconds for which a complete answer shows that the parts of its prompt are sound. */
export const soundMs = 30_000;
