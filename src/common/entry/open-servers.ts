import {type BackendServer} from '../control/backend-server.js';
import {type ControlView} from '../control/control-view.js';

/** Whether a backend server may get new work: its zone is not under evacuation. */
export function isInOpenZone({evacuatedZones}: Pick<ControlView, 'evacuatedZones'>, {zone}: Pick<BackendServer, 'zone'>): boolean {
	return !evacuatedZones.has(zone);
}
