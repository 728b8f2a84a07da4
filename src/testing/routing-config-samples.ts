import {repetition, type Route, type RoutingConfig} from '../common/forwarding/routing-config.js';

/** Returns a valid route with some fields changed. */
export function sampleRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'r',
		hostname: 'h.example',
		pathPrefix: '/a/',
		repetition: repetition.idempotent,
		timeoutMs: 1000,
		targetLatencyMs: 100,
		targetPauseMs: 0,
		priority: 0,
		services: [{service: 's', weight: 1}],
		maxAttempts: 2,
		isAnonymous: false,
		hasPromptParts: false,
		isResumable: false,
		models: [],
		...changes,
	};
}

/** Returns a configuration with one service. */
export function sampleRouting(routes: readonly Route[], customers?: RoutingConfig['customers']): RoutingConfig {
	return {
		version: 1,
		routes,
		services: [{
			name: 's', healthPath: '/', maxConnections: 10, slots: undefined, models: [],
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers,
	};
}
