import {type Clock} from '../common/base/clock.js';
import {type Logger} from '../common/base/logger.js';
import {sleep} from '../common/base/sleep.js';
import {type ControlFollower} from '../common/control/control-follower.js';
import {type CallerServer} from './caller-server.js';

/** What a planned stop of an entry host works with. */
export interface CallerDrainOptions {
	readonly follower: Pick<ControlFollower, 'entry' | 'setLeaving' | 'propose'>;
	readonly callers: Pick<CallerServer, 'active' | 'drain' | 'close'>;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time in milliseconds for which some callers keep the list of entry hosts. */
	readonly holdMs: number;
	/** Time in milliseconds from the request to stop until the process is killed. */
	readonly graceMs: number;
}

/** Time in milliseconds before the end of the grace period at which a stopping host ends. */
const stopMarginMs = 150;
/** Time in milliseconds for which a stopping host tries to leave the list of entry hosts. */
const leaveTimeoutMs = 1500;
/** Interval in milliseconds at which a stopping host looks for requests that still run. */
const pollMs = 50;

/**
Planned stop of an entry host within a grace period: it leaves the list, serves as long as callers hold its address, and
then ends what still runs. Resolves when the process may end.
*/
export async function drainCallers({follower, callers, clock, logger, holdMs, graceMs}: CallerDrainOptions): Promise<void> {
	const closeAt = clock.now() + holdMs - (2 * pollMs);
	const stopAt = clock.now() + graceMs - stopMarginMs;
	logger.info({active: callers.active}, 'stop requested');
	callers.drain();
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
		await sleep(clock, pollMs); // eslint-disable-line no-await-in-loop -- callers still hold the address
	}

	callers.close();
	while (clock.now() < stopAt && callers.active > 0) {
		await sleep(clock, pollMs); // eslint-disable-line no-await-in-loop -- waits until the last request has ended
	}

	logger.info({active: callers.active}, 'stopped');
}
