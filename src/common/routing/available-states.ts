import {type ServerState} from './server-state.js';

/**
Backend servers that may receive requests. An ejected server receives only its trial request.
When all servers are ejected, those without a failed trial are used again, so that a short fault near the entry host does not make a version unavailable.
*/
export function availableStates(states: readonly ServerState[], now: number): readonly ServerState[] {
	const available = states.filter(({health}) => health.isAvailable(now));
	return available.length > 0 ? available : states.filter(({health}) => !health.isConfirmedDown);
}
