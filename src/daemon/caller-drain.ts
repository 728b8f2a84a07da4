import {type Clock} from '../common/base/clock.js';
import {type Logger} from '../common/base/logger.js';
import {sleep} from '../common/base/sleep.js';
import {type ControlFollower} from '../common/control/control-follower.js';
import {type CallerServer} from './caller-server.js';

/** Options of `drainCallers`. */
export interface CallerDrainOptions {
	readonly follower: Pick<ControlFollower, 'entry' | 'setLeaving' | 'propose'>;
	readonly callers: Pick<CallerServer, 'active' | 'drain' | 'refuseNew' | 'close' | 'stop'>;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Longest time in milliseconds for which a caller may cache the list of entry hosts. */
	readonly listLifetimeMs: number;
	/** Time in milliseconds from the stop request until the process is killed. */
	readonly graceMs: number;
	/** Whether new requests are refused at once, because the state of the host may be damaged. */
	readonly isDamaged?: boolean;
}

/** Time in milliseconds between the end of draining and the end of the grace period. */
const stopMarginMs = 150;
/** Timeout in milliseconds for leaving the list of entry hosts. */
const leaveTimeoutMs = 1500;
/** Interval in milliseconds at which the number of active requests is polled. */
const pollMs = 50;

/**
Shuts an entry host down gracefully within a grace period. The host leaves the list of entry hosts, serves requests until
cached lists have expired, and then waits for active requests. Resolves when the process may exit, which may be before
the last request has ended.
*/
export async function drainCallers({follower, callers, clock, logger, listLifetimeMs, graceMs, isDamaged = false}: CallerDrainOptions): Promise<void> {
	const closeAt = clock.now() + listLifetimeMs - (2 * pollMs);
	const stopAt = clock.now() + graceMs - stopMarginMs;
	logger.info({active: callers.active}, 'stop requested');
	callers.drain();
	if (isDamaged) {
		callers.refuseNew();
	}

	follower.setLeaving();
	const {host, incarnation} = follower.entry;
	try {
		await follower.propose({
			type: 'entry-leaving', host, incarnation, at: clock.wallTime(),
		}, leaveTimeoutMs);
	} catch (error) {
		logger.warn({err: error}, 'could not leave the list of entry hosts');
	}

	while (clock.now() < closeAt) {
		await sleep(clock, pollMs); // eslint-disable-line no-await-in-loop -- callers may still use a cached list with this host
	}

	callers.close();
	while (clock.now() < stopAt && callers.active > 0) {
		await sleep(clock, pollMs); // eslint-disable-line no-await-in-loop -- waits until the last request has ended
	}

	callers.stop();
	logger.info({active: callers.active}, 'stopped');
}
