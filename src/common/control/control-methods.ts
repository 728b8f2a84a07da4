import {peerMethod} from '../base/peer-method.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type InForceReply} from './in-force.js';
import {type LeaderOverview} from './leader-overview.js';
import {type RenewReply, type RenewRequest} from './renew-message.js';

/** Renews the lease of a daemon; a long poll. */
export const renewMethod = peerMethod<RenewRequest, RenewReply>('control.renew');
/** Proposes a command on behalf of a daemon. */
export const proposeMethod = peerMethod<{command: ControlCommand}, ControlResult>('control.propose');
/** Tells whether a revision is in force. */
export const inForceMethod = peerMethod<{revision: number}, InForceReply>('control.in-force');
/** Index up to which the log is committed, from the leader; a state that has applied it is not older than the question. */
export const commitIndexMethod = peerMethod<Record<string, never>, {commitIndex: number}>('control.commit-index');
/** Gives up the lease of a daemon that stops, so that no change waits for the lease to run out. */
export const releaseMethod = peerMethod<{host: string; incarnation: number}, {released: boolean}>('control.release');
/** Shows the leader with the daemons that renew at it. */
export const overviewMethod = peerMethod<Record<string, never>, LeaderOverview>('control.overview');
