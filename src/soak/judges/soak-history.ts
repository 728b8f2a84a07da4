/** Request as a caller sent it. Times are in milliseconds of one clock. */
export interface SoakRequest {
	readonly id: string;
	/** Key, and path of the route if it is not permanent. */
	readonly grants: readonly string[];
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	readonly isStream: boolean;
	/** Number of the event after which the stream was asked for. */
	readonly after: number;
	/** Models from which the router chooses; empty on other routes. */
	readonly models: readonly string[];
	/** Service that may run the request. */
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Maximum number of backend servers that may run the request. */
	readonly maxAttempts: number;
	readonly deadlineMs: number;
	/** Time limit of the route in milliseconds. */
	readonly timeoutMs: number;
	readonly sentAt: number;
}

/** Planned work on an entry host, in a run without faults. */
export interface PlannedWork {
	readonly entry: number;
	readonly kind: 'stop' | 'reload';
	/** Whether the host accepted connections then. */
	readonly isServing: boolean;
	readonly at: number;
}

/** How a run ended at its backend server. */
export const runEnd = {
	/** The answer was written whole. */
	complete: 'complete',
	/** The server broke the answer off. */
	broken: 'broken',
	/** The host closed the connection. */
	left: 'left',
} as const;

/** A value of `runEnd`. */
export type RunEnd = typeof runEnd[keyof typeof runEnd];

/** Run of a request as its backend server saw it; refusals are no runs. */
export interface SoakRun {
	readonly server: string;
	readonly service: string;
	readonly zone: string;
	readonly id: string;
	readonly at: number;
	readonly method: string;
	readonly path: string;
	readonly model: string;
	/** Signature of the answer, different for each run. */
	readonly signature: string;
	/** Undefined if the request came without a deadline. */
	readonly deadlineMs: number | undefined;
	/** Whether the server behaved as sound ones may. */
	isSound: boolean;
	/** Body, once it has been read whole. */
	body?: string;
	/** Status of the answer that the server began. */
	status?: number;
	end?: RunEnd;
	endedAt?: number;
}

/** How an answer ended for its caller. */
export const answerEnd = {
	/** Complete by its framing: all of its length, the last chunk, or a regular close where there is neither. */
	complete: 'complete',
	/** The connection was closed or reset before that. */
	cut: 'cut',
	/** Nothing of an answer came before the connection was closed or reset. */
	none: 'none',
	/** The caller left. */
	left: 'left',
	/** The caller's time was over. */
	late: 'late',
	/** The connection could not be opened. */
	unreachable: 'unreachable',
} as const;

/** A value of `answerEnd`. */
export type AnswerEnd = typeof answerEnd[keyof typeof answerEnd];

/** Outcome of a request as its caller saw it. */
export interface SoakOutcome {
	readonly id: string;
	readonly end: AnswerEnd;
	/** Status of the answer; undefined when no whole head came. */
	readonly status: number | undefined;
	readonly headers: Readonly<Record<string, string | undefined>>;
	readonly body: string;
	/** Signature of a backend server. */
	readonly signature: string | undefined;
	/** Id of the request that the answer names; undefined when it names none. */
	readonly answeredId: string | undefined;
	/** Bytes that are not an answer, or that came with no request waiting. */
	readonly strayBytes: string;
	/** Whether earlier requests were sent on the connection. */
	readonly isKept: boolean;
	/** Time at which the last byte of the request was sent; undefined when it was not. */
	readonly lastByteAt: number | undefined;
	readonly endedAt: number;
	/** Number of the entry host. */
	readonly entry: number;
	/** Whether the request was sent, in a run without faults, to a host that is not being restarted and has not been lately. */
	readonly isOwed: boolean;
	/** Whether the request was sent after the time allowed for recovery from all faults. */
	readonly isAfterFaults: boolean;
}

/** Configuration as an operator sent it. */
export interface SentConfiguration {
	readonly version: number;
	readonly text: string;
	/** Keys and paths of routes that it contains, without the routes that every version has. */
	readonly grants: readonly string[];
	/** Keys and paths of earlier versions that it does not contain; they never return. */
	readonly removed: readonly string[];
}

/** Configuration as a control host returned it. */
export interface ReadConfiguration {
	readonly host: string;
	readonly version: number;
	readonly text: string;
	readonly sentAt: number;
}

/** End of a process that the soak did not cause. */
export interface OwnEnd {
	readonly host: string;
	readonly code: number | undefined;
	readonly signal: string | undefined;
	/** Time in milliseconds from its start. */
	readonly ageMs: number;
}

/** Evacuation of a zone as an operator saw it. */
export interface Evacuation {
	readonly zone: string;
	readonly acknowledgedAt: number;
	/** Time at which its withdrawal was sent for the first time. */
	endSentAt: number;
	/** Whether its withdrawal was acknowledged. */
	isEnded: boolean;
}

/** Everything that callers, backend servers and operators saw in a run, from outside the system. */
export interface SoakHistory {
	/** Whether the run has planned work only. */
	readonly isFaultFree: boolean;
	/** Whether callers ask for more than the backend servers accept. */
	readonly isOverloaded: boolean;
	/** Time in milliseconds from the stop signal to the kill. */
	readonly graceMs: number;
	/** Longest time in milliseconds for which the soak itself did not run; it sees ends of connections so much later. */
	readonly longestPauseMs: number;
	readonly requests: ReadonlyMap<string, SoakRequest>;
	/** Runs by the id of their request, in the order of their starts. */
	readonly runs: ReadonlyMap<string, readonly SoakRun[]>;
	readonly outcomes: ReadonlyMap<string, SoakOutcome>;
	readonly sentConfigurations: readonly SentConfiguration[];
	readonly acknowledgements: ReadonlyArray<{readonly configuration: SentConfiguration; readonly at: number}>;
	readonly refusedConfigurations: ReadonlyArray<{readonly version: number; readonly status: number}>;
	readonly reads: readonly ReadConfiguration[];
	/** Control hosts that did not return the configuration in time, in a run without faults. */
	readonly unreadable: readonly string[];
	/** Versions that were read last from each control host; undefined where the read failed. */
	readonly lastVersions: ReadonlyMap<string, number | undefined>;
	/** Times at which the leave of a backend server was acknowledged. */
	readonly leaves: ReadonlyMap<string, number>;
	/** Backend servers that ended or were cut off. */
	readonly endedServers: ReadonlySet<string>;
	readonly evacuations: readonly Evacuation[];
	readonly plannedWork: readonly PlannedWork[];
	readonly ownEnds: readonly OwnEnd[];
}

/** Judges one rule. @returns a text for each violation. */
export type Judge = (history: SoakHistory) => string[];

/** Runs of a request. */
export function runsOf(history: SoakHistory, id: string): readonly SoakRun[] {
	return history.runs.get(id) ?? [];
}

/** Requests with an outcome. */
export function answered(history: SoakHistory): Array<{request: SoakRequest; outcome: SoakOutcome; runs: readonly SoakRun[]}> {
	return [...history.outcomes.values()].flatMap(outcome => {
		const request = history.requests.get(outcome.id);
		return request ? [{request, outcome, runs: runsOf(history, outcome.id)}] : [];
	});
}
