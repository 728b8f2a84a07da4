/** What may be repeated for the requests of a route. */
export const repetition = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** Runs at most once for each request. */
	once: 'once',
	/** A stream of numbered events; runs once unless the route is resumable. */
	stream: 'stream',
} as const;
export type Repetition = typeof repetition[keyof typeof repetition];

/** Share of a route's requests that a service gets. */
export interface WeightedService {
	readonly service: string;
	readonly weight: number;
}

/** Where requests with a host name and path prefix go, and within which limits. */
export interface Route {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repetition: Repetition;
	/** Longest time in milliseconds until the caller has its final answer. */
	readonly timeoutMs: number;
	/** Time in milliseconds within which an answer, or the first event of a stream, is on time. */
	readonly targetLatencyMs: number;
	/** Longest pause in milliseconds between events that is still on time; 0 for other routes. */
	readonly targetPauseMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Backend servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isAnonymous: boolean;
	/** Whether requests name the parts of their prompt, so that placing them alike saves reading. */
	readonly hasPromptParts: boolean;
	/** Whether an interrupted stream may go on at another backend server. */
	readonly isResumable: boolean;
	/** Models that may answer, smallest first; empty when the caller chooses. */
	readonly models: readonly string[];
}

/** A model of a service with its price. */
export interface ServiceModel {
	readonly name: string;
	/** Price per 1,000 generated tokens in the operator's unit. */
	readonly cost: number;
}

/** A service with what its backend servers have in common. */
export interface RoutedService {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one backend server accepts from all hosts together. */
	readonly maxConnections: number;
	/** Requests that a backend server runs at once; undefined where the announcements tell. */
	readonly slots: number | undefined;
	/** Models of a model engine service, smallest first; empty for a plain service. */
	readonly models: readonly ServiceModel[];
}

/** A customer with its keys. */
export interface Customer {
	readonly name: string;
	readonly keys: readonly string[];
	/** Rank that replaces the one of the route; 0 is the most urgent. */
	readonly priority: number | undefined;
}

/** Limits on what callers send. */
export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Time in milliseconds within which the header of a request must be complete. */
	readonly headerTimeoutMs: number;
	/** Time in milliseconds for which a connection may be idle. */
	readonly idleTimeoutMs: number;
}

/** One complete routing configuration. */
export interface RoutingConfig {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
	/** Customers; undefined when requests carry no keys. */
	readonly customers: readonly Customer[] | undefined;
}
