import {peerMethod} from '../base/peer-method.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type InForceReply} from './in-force.js';
import {type LeaderOverview} from './leader-overview.js';
import {type RenewReply, type RenewRequest} from './renew-message.js';
import {type RoutingContentReply, type RoutingContentRequest} from './routing-content-message.js';

/** Heartbeats of backend servers that a host has received while another one leads. */
export interface HeartbeatReport {
	readonly heartbeats: ReadonlyArray<{
		/** Key of the process of the backend server. */
		readonly key: string;
		/** Time in milliseconds since its last heartbeat. */
		readonly ageMs: number;
	}>;
}

/** Renews the lease of a daemon; a long poll. */
export const renewMethod = peerMethod<RenewRequest, RenewReply>('control.renew');
/** Proposes a command on behalf of a daemon. */
export const proposeMethod = peerMethod<{command: ControlCommand}, ControlResult>('control.propose');
/** Tells whether a revision is in force. */
export const inForceMethod = peerMethod<{revision: number}, InForceReply>('control.in-force');
/** Reads the commit index at the leader. A state that has applied it includes all changes committed before the call. */
export const commitIndexMethod = peerMethod<Record<string, never>, {commitIndex: number}>('control.commit-index');
/** Ends the hold of a renewal, because the daemon has something to report at once. */
export const endHoldMethod = peerMethod<{host: string; incarnation: number}, boolean>('control.end-hold');
/** Releases the lease of a daemon that stops, so that no change has to wait for the lease to expire. */
export const releaseMethod = peerMethod<{host: string; incarnation: number}, {released: boolean}>('control.release');
/** Describes the leader and the daemons that renew at it. */
export const overviewMethod = peerMethod<Record<string, never>, LeaderOverview>('control.overview');
/** Reads the content of a routing configuration, in parts, at any control host. */
export const routingContentMethod = peerMethod<RoutingContentRequest, RoutingContentReply>('control.routing-content');
/** Passes heartbeats of backend servers on to the leader. */
export const heartbeatsMethod = peerMethod<HeartbeatReport, boolean>('control.heartbeats');
