import {type Clock} from '../base/clock.js';
import {type Logger} from '../base/logger.js';
import {sleep} from '../base/sleep.js';
import {type ControlClient} from './control-client.js';
import {type ControlFollower} from './control-follower.js';

/** Dependencies of `EntryDrain`. */
export interface EntryDrainOptions {
	readonly follower: ControlFollower;
	readonly client: ControlClient;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Time in seconds for which callers cache the entry list. */
	readonly keepSeconds: number;
}

const retryMs = 1000;

/** Removes this entry host from the entry list for a planned stop. */
export class EntryDrain {
	constructor(private readonly _options: EntryDrainOptions) {}

	/**
	Resolves when no caller can hold a valid list with this host. Until then, and until its streams have ended, the daemon
	keeps its lease and serves requests; then it calls `ControlFollower.release`.
	*/
	async leave(signal?: AbortSignal): Promise<void> {
		const {follower, clock, keepSeconds} = this._options;
		follower.setLeaving();
		// The list cannot change without a leader, so the drain waits for one.
		// eslint-disable-next-line no-await-in-loop -- attempts follow each other
		while (!signal?.aborted && !await this._tryLeave()) {
			// eslint-disable-next-line no-await-in-loop -- waits between attempts
			await sleep(clock, retryMs, signal);
		}

		await sleep(clock, keepSeconds * 1000, signal);
	}

	/** @returns whether the leave is in force, so that no daemon serves a list with this host. */
	private async _tryLeave(): Promise<boolean> {
		const {follower, client, clock, logger} = this._options;
		const {host, incarnation} = follower.entry;
		try {
			const result = await follower.propose({
				type: 'entry-leaving', host, incarnation, at: clock.wallTime(),
			});
			if (result.status !== 'accepted') {
				// The join of this incarnation may still be in flight; it must be marked as leaving after its commit.
				return false;
			}

			const {inForce} = await client.waitInForce(result.revision);
			return inForce;
		} catch (error) {
			logger.warn({host, err: error}, 'could not leave the entry list, will retry');
			return false;
		}
	}
}
