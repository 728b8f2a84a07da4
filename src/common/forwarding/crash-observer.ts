import {type PromptPart} from './forward-request.js';
import {type ServerRecord} from './server-pool.js';

/** Observes which requests servers ran when they ended. */
export interface CrashObserver {
	/** Records that a connection broke under an attempt that a server may have run. */
	recordBroken(record: ServerRecord, parts: readonly PromptPart[]): void;
	/** Records a complete answer. */
	recordComplete(parts: readonly PromptPart[]): void;
	/** Records that a request was refused because of a part under quarantine. */
	recordRefused(part: string): void;
	/** Whether this host has seen complete answers to all shared parts of a prompt recently. */
	isSound(parts: readonly PromptPart[]): boolean;
}

/** The parts of a prompt that other requests may share; the last part belongs to the request or its session alone. */
export function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.slice(0, -1);
}
