/** Whether requests of a route may run more than once. */
export const repetition = {
	/** May run more than once. */
	idempotent: 'idempotent',
	/** Runs at most once. */
	once: 'once',
	/** Answers with a stream of numbered events; runs at most once, unless the route is resumable. */
	stream: 'stream',
} as const;
export type Repetition = typeof repetition[keyof typeof repetition];

/** A service with its share of the requests of a route. */
export interface WeightedService {
	readonly service: string;
	readonly weight: number;
}

/** Services and limits for requests with a hostname and path prefix. */
export interface Route {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repetition: Repetition;
	/** Maximum time in milliseconds until the caller has its final answer. */
	readonly timeoutMs: number;
	/** Target in milliseconds for the latency of an answer, or of the first event of a stream. */
	readonly targetLatencyMs: number;
	/** Target in milliseconds for the pause between events of a stream; 0 for other routes. */
	readonly targetPauseMs: number;
	/** Priority of the requests; 0 is the most urgent. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Maximum number of attempts for one request; attempts of which no byte was sent do not count. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isAnonymous: boolean;
	/** Whether requests name the parts of their prompt, so that requests with a shared part are sent to the same server. */
	readonly hasPromptParts: boolean;
	/** Whether an interrupted stream may resume at another backend server. */
	readonly isResumable: boolean;
	/** Models that may answer, smallest first; empty when the caller chooses the model. */
	readonly models: readonly string[];
}

/** A model of a service, with its price. */
export interface ServiceModel {
	readonly name: string;
	/** Price per 1,000 generated tokens in the operator's unit. */
	readonly cost: number;
}

/** A service, with the properties that its backend servers share. */
export interface RoutedService {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections that one backend server accepts from all hosts together. */
	readonly maxConnections: number;
	/** Number of requests that a backend server runs concurrently; undefined when the backend servers announce it. */
	readonly slots: number | undefined;
	/** Number of requests per second that a cold server bears from all hosts together; undefined without a limit. */
	readonly coldPerSecond?: number | undefined;
	/** Models of a model engine service, smallest first; empty for a plain service. */
	readonly models: readonly ServiceModel[];
}

/** A customer with its keys. */
export interface Customer {
	readonly name: string;
	readonly keys: readonly string[];
	/** Priority that overrides the one of the route; 0 is the most urgent. */
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
