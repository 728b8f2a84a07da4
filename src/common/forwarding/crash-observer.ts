import {type PromptPart} from './forward-request.js';
import {type ServerRecord} from './server-pool.js';

/** What is known of a request that may end servers. */
export interface CrashSuspect {
	/** Digest of the request and its repeats. */
	readonly digest: string;
	/** Parts of its prompt; empty without a prompt. */
	readonly parts: readonly PromptPart[];
}

/** Observes which requests servers ran when they ended. */
export interface CrashObserver {
	/** Records that a connection broke under an attempt that a server may have run. */
	recordBroken(record: ServerRecord, suspect: CrashSuspect): void;
	/** Records a complete answer. */
	recordComplete(suspect: CrashSuspect): void;
	/** Records that a request was refused because of a part under quarantine. */
	recordRefused(part: string): void;
	/** Whether this host has seen complete answers to all shared parts of a prompt recently. */
	isSound(parts: readonly PromptPart[]): boolean;
	/** Whether this host has recently seen a complete answer to a request with this digest. */
	isSoundRequest(digest: string): boolean;
}

/** The parts of a prompt that other requests may share; the last part belongs to the request or its session alone. */
export function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.slice(0, -1);
}
