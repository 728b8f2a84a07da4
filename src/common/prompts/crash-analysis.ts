import {dropOldest} from '../base/drop-oldest.js';
import {soundMs} from './crash-report.js';

/** A part of prompts that is blamed for the end of servers. */
export interface BlamedPart {
	readonly part: string;
	/** Processes that ended under requests with the part, and that no other blamed part explains. */
	readonly servers: readonly string[];
	/** Number of requests with the part that these processes ran. */
	readonly requests: number;
}

type Crash = {at: number; readonly parts: Map<string, number>};

/** Processes that end within this time of each other in milliseconds may have one other cause, such as a loss of power, and count once. */
const sameCauseMs = 100;
/** Number of separate ends under a part from which it is blamed if no other part is as likely. */
const minCrashes = 3;
/** Number of separate ends under a part from which it is blamed in any case. */
const certainCrashes = 5;
/** Time in milliseconds for which the end of a process counts. */
const crashRetentionMs = 600_000;
const maxCrashes = 500;
const maxSoundParts = 10_000;

/**
Finds the part of prompts that ends servers. All requests that a process ran when it ended are suspects. A complete answer
clears the parts of its prompt; of the others the one that explains most ends is blamed first, and the rest is judged by the ends
that it leaves unexplained.
*/
export class CrashAnalysis {
	private readonly _crashes = new Map<string, Crash>();
	private readonly _soundAt = new Map<string, number>();

	/** Adds the parts that a host ran at a process when it ended. Reports of several hosts, and repeated ones, are merged. */
	recordCrash(server: string, at: number, parts: ReadonlyArray<readonly [part: string, requests: number]>): void {
		let crash = this._crashes.get(server);
		if (!crash) {
			crash = {at, parts: new Map()};
			this._crashes.set(server, crash);
			dropOldest(this._crashes, maxCrashes);
		}

		crash.at = Math.min(crash.at, at);
		for (const [part, requests] of parts) {
			if ((this._soundAt.get(part) ?? -Infinity) <= at - soundMs) {
				crash.parts.set(part, Math.max(requests, crash.parts.get(part) ?? 0));
			}
		}
	}

	/** Clears a part, because a request with it was answered completely. */
	recordSound(part: string, at: number): void {
		this._soundAt.delete(part);
		this._soundAt.set(part, at);
		dropOldest(this._soundAt, maxSoundParts);
		for (const {parts} of this._crashes.values()) {
			parts.delete(part);
		}
	}

	/** Returns the parts that are to be blamed now, in addition to those that are blamed already. */
	blame(known: Pick<ReadonlySet<string>, 'has'>, now: number): BlamedPart[] {
		this._prune(now);
		const blamed: BlamedPart[] = [];
		const isExplained = ({parts}: Crash) => [...parts.keys()].some(part => known.has(part) || blamed.some(other => other.part === part));
		for (;;) {
			const [first, second] = rank([...this._crashes].filter(([, crash]) => !isExplained(crash)));
			const isClear = first !== undefined && first.separate >= minCrashes && (first.separate >= certainCrashes || first.separate > (second?.separate ?? 0));
			if (!isClear) {
				return blamed;
			}

			blamed.push({part: first.part, servers: first.servers, requests: first.requests});
		}
	}

	clear(): void {
		this._crashes.clear();
		this._soundAt.clear();
	}

	private _prune(now: number): void {
		for (const [server, {at}] of this._crashes) {
			if (at <= now - crashRetentionMs) {
				this._crashes.delete(server);
			}
		}
	}
}

/** Orders the parts by the number of separate ends under them, then by their requests. */
function rank(crashes: ReadonlyArray<readonly [server: string, crash: Crash]>): Array<BlamedPart & {readonly separate: number}> {
	const byPart = new Map<string, {servers: string[]; times: number[]; requests: number}>();
	for (const [server, {at, parts}] of crashes) {
		for (const [part, requests] of parts) {
			const suspect = byPart.get(part) ?? {servers: [], times: [], requests: 0};
			suspect.servers.push(server);
			suspect.times.push(at);
			suspect.requests += requests;
			byPart.set(part, suspect);
		}
	}

	return [...byPart]
		.map(([part, {servers, times, requests}]) => ({
			part, servers, requests, separate: countSeparate(times),
		}))
		.sort((left, right) => right.separate - left.separate || right.requests - left.requests);
}

/** Counts times that are at least `sameCauseMs` apart. */
function countSeparate(times: readonly number[]): number {
	let count = 0;
	let last = -Infinity;
	for (const at of [...times].sort((left, right) => left - right)) {
		if (at - last >= sameCauseMs) {
			count++;
			last = at;
		}
	}

	return count;
}
