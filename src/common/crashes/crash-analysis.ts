import {dropOldest, setNewest} from '../base/drop-oldest.js';
import {soundMs, type SuspectRequest} from './crash-report.js';

/** A request or a part of prompts that is blamed for the end of servers. */
export interface Blamed {
	/** Digest of the request, or ID of the part. */
	readonly id: string;
	/** Processes that ended under it; of a part without those that another blamed part explains. */
	readonly servers: readonly string[];
	/** Number of requests that it accounts for at these processes. */
	readonly requests: number;
}

/** Verdicts on the requests with several ends. */
export interface RequestVerdicts {
	readonly blamed: readonly Blamed[];
	/** Digests of requests whose ends are explained by others. */
	readonly excused: readonly string[];
}

type Crash = {
	at: number;
	/** Number of requests by part. */
	readonly parts: Map<string, number>;
	/** Parts by digest. */
	readonly requests: Map<string, readonly string[]>;
};

/** A request or a part with the number of its separate ends. */
type Suspect = Blamed & {readonly separate: number};

/** Processes that end within this time of each other in milliseconds may have one other cause, such as a loss of power, and count once. */
const sameCauseMs = 100;
/** Number of separate ends under a suspect from which it is blamed if no other one is as likely. */
const minCrashes = 3;
/** Number of separate ends under a request from which it is blamed even if another one explains as many. */
const certainRequestCrashes = 4;
/** Number of separate ends under a part from which it is blamed in any case. */
const certainPartCrashes = 5;
/** Number of requests below which they explain the ends better than a part that they share. */
const minRequestsOfPart = 3;
/** Time in milliseconds for which the end of a process counts. */
const crashRetentionMs = 600_000;
const maxCrashes = 500;
const maxSound = 10_000;

/**
Finds the requests and the parts of prompts that end servers. All requests that a process ran when it ended are suspects. A
complete answer clears its request and the parts of its prompt. Of the others those that explain most ends are blamed, and
the rest is judged by the ends that these leave unexplained.
*/
export class CrashAnalysis {
	private readonly _crashes = new Map<string, Crash>();
	/** Times of complete answers by part and by digest. */
	private readonly _soundParts = new Map<string, number>();
	private readonly _soundRequests = new Map<string, number>();

	/** Adds what a host ran at a process when it ended. Reports of several hosts, and repeated ones, are merged. */
	recordCrash(server: string, at: number, parts: ReadonlyArray<readonly [part: string, requests: number]>, requests: readonly SuspectRequest[] = []): void {
		let crash = this._crashes.get(server);
		if (!crash) {
			crash = {at, parts: new Map(), requests: new Map()};
			this._crashes.set(server, crash);
			dropOldest(this._crashes, maxCrashes);
		}

		crash.at = Math.min(crash.at, at);
		for (const [part, count] of parts) {
			if (!isSound(this._soundParts, part, at)) {
				crash.parts.set(part, Math.max(count, crash.parts.get(part) ?? 0));
			}
		}

		for (const [digest, ...unproven] of requests) {
			if (!isSound(this._soundRequests, digest, at)) {
				crash.requests.set(digest, unproven);
			}
		}
	}

	/** Clears a part, because a request with it was answered completely. */
	recordSoundPart(part: string, at: number): void {
		setNewest(this._soundParts, part, at, maxSound);
		for (const {parts} of this._crashes.values()) {
			parts.delete(part);
		}
	}

	/** Clears a request, because it was answered completely. */
	recordSoundRequest(digest: string, at: number): void {
		setNewest(this._soundRequests, digest, at, maxSound);
		for (const {requests} of this._crashes.values()) {
			requests.delete(digest);
		}
	}

	/** Judges the requests with enough separate ends. Its ends count against a request unless one with more ends explains them. */
	judgeRequests(now: number): RequestVerdicts {
		this._prune(now);
		const suspects = rank([...this._crashes].map(([server, {at, requests}]) => ({server, at, ids: requests})), () => 1);
		const unexplained = ({servers}: Suspect, others: readonly Suspect[]) => countSeparate(servers.filter(server => !others.some(other => other.servers.includes(server))).map(server => this._crashes.get(server)!.at));
		const blamed: Blamed[] = [];
		const excused: string[] = [];
		for (const suspect of suspects) {
			const stronger = suspects.filter(other => compare(other, suspect) < 0);
			const asStrong = suspects.filter(other => other !== suspect && compare(other, suspect) === 0);
			if (unexplained(suspect, stronger) < minCrashes) {
				excused.push(suspect.id);
			} else if (suspect.separate >= certainRequestCrashes || unexplained(suspect, asStrong) >= minCrashes) {
				blamed.push(suspect);
			}
		}

		return {blamed, excused};
	}

	/** Returns the parts that are to be blamed now, in addition to those that are blamed already. */
	blameParts(known: Pick<ReadonlySet<string>, 'has'>, now: number): Blamed[] {
		this._prune(now);
		const blamed: Blamed[] = [];
		const isExplained = ({parts}: Crash) => [...parts.keys()].some(part => known.has(part) || blamed.some(({id}) => id === part));
		for (;;) {
			const unexplained = [...this._crashes].filter(([, crash]) => !isExplained(crash)).map(([server, {at, parts}]) => ({server, at, ids: parts}));
			const [first, second] = rank(unexplained, requests => requests).filter(suspect => this._isManyRequests(suspect));
			const isClear = first !== undefined && (first.separate >= certainPartCrashes || first.separate > (second?.separate ?? 0));
			if (!isClear) {
				return blamed;
			}

			blamed.push(first);
		}
	}

	clear(): void {
		this._crashes.clear();
		this._soundParts.clear();
		this._soundRequests.clear();
	}

	/** Whether it takes several requests to explain the ends under a part, so that the part explains them better. */
	private _isManyRequests({id, servers}: Suspect): boolean {
		const left = new Map(servers.map(server => {
			const digests = [...this._crashes.get(server)!.requests].filter(([, parts]) => parts.includes(id)).map(([digest]) => digest);
			// Hosts with an earlier release name no requests.
			return [server, digests.length > 0 ? digests : [server]];
		}));
		let count = 0;
		while (left.size > 0 && count < minRequestsOfPart) {
			const ends = new Map<string, number>();
			for (const digest of [...left.values()].flat()) {
				ends.set(digest, (ends.get(digest) ?? 0) + 1);
			}

			const [[most]] = [...ends].sort(([, left], [, right]) => right - left) as [[string, number]];
			for (const [server, digests] of left) {
				if (digests.includes(most)) {
					left.delete(server);
				}
			}

			count++;
		}

		return count >= minRequestsOfPart;
	}

	private _prune(now: number): void {
		for (const [server, {at}] of this._crashes) {
			if (at <= now - crashRetentionMs) {
				this._crashes.delete(server);
			}
		}
	}
}

/** Orders the suspects with at least `minCrashes` separate ends by their number, then by the number of requests, which `requestsOf` returns for one end. */
function rank<Value>(crashes: ReadonlyArray<{readonly server: string; readonly at: number; readonly ids: ReadonlyMap<string, Value>}>, requestsOf: (value: Value) => number): Suspect[] {
	const ends = new Map<string, number>();
	for (const {ids} of crashes) {
		for (const id of ids.keys()) {
			ends.set(id, (ends.get(id) ?? 0) + 1);
		}
	}

	const byId = new Map<string, {servers: string[]; times: number[]; requests: number}>();
	for (const {server, at, ids} of crashes) {
		for (const [id, value] of ids) {
			// Most requests ran at one end only.
			if (ends.get(id)! < minCrashes) {
				continue;
			}

			const suspect = byId.get(id) ?? {servers: [], times: [], requests: 0};
			suspect.servers.push(server);
			suspect.times.push(at);
			suspect.requests += requestsOf(value);
			byId.set(id, suspect);
		}
	}

	return [...byId]
		.map(([id, {servers, times, requests}]) => ({
			id, servers, requests, separate: countSeparate(times),
		}))
		.filter(({separate}) => separate >= minCrashes)
		.sort(compare);
}

/** Compares two suspects: a negative result means that the left one explains more. */
function compare(left: Suspect, right: Suspect): number {
	return right.separate - left.separate || right.requests - left.requests;
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

function isSound(soundAt: ReadonlyMap<string, number>, id: string, at: number): boolean {
	return (soundAt.get(id) ?? -Infinity) > at - soundMs;
}
