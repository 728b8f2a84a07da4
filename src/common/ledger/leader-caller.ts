import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {PeerCallError} from '../base/peer-errors.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type PeerMethod} from '../base/peer-method.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';

/** Dependencies of a `LeaderCaller`. */
export interface LeaderCallerServices {
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	/** Names of the current voters of the group. */
	readonly voters: () => readonly string[];
}

/** Timeout of one call in milliseconds. A commit takes a few milliseconds, so after a second the reply or the host is lost. */
const callTimeoutMs = 1000;
/** Bounds in milliseconds of the exponential backoff after a failed attempt. */
const minBackoffMs = 10;
const maxBackoffMs = 500;

/** Calls the leader of a ledger group: follows leader hints, tries the voters in turn and backs off between attempts. */
export class LeaderCaller {
	private _leader: string | undefined;
	private _nextIndex = 0;

	constructor(private readonly _services: LeaderCallerServices) {}

	/**
	Repeats the call until it succeeds or the signal is aborted. Use it only for idempotent calls.

	@returns undefined when aborted.
	*/
	async call<Params, Result>(method: PeerMethod<Params, Result>, params: Params, signal: AbortSignal, timeoutMs = callTimeoutMs): Promise<Result | undefined> {
		const {clock, random, counters} = this._services;
		for (let attempt = 0; !signal.aborted; attempt++) {
			const peer = this._leader ?? this._nextVoter();
			try {
				if (peer !== undefined) {
					// eslint-disable-next-line no-await-in-loop -- one attempt after another
					const result = await this._services.transport.call(peer, method, params, timeoutMs);
					this._leader = peer;
					return signal.aborted ? undefined : result;
				}
			} catch (error) {
				counters.increment('ledger.call_retries');
				if (this._followHint(error, peer) && attempt === 0) {
					// The first hint is followed at once, later ones after a backoff, because two members may name each other.
					continue;
				}
			}

			const backoffMs = Math.min(maxBackoffMs, minBackoffMs * (2 ** attempt));
			// eslint-disable-next-line no-await-in-loop -- backoff between attempts
			await sleep(clock, backoffMs * (0.5 + (random.next() / 2)), signal);
		}

		return undefined;
	}

	/** Stores the leader named by a `not-leader` error; any other error clears it. @returns whether a member other than the called one was named. */
	private _followHint(error: unknown, peer: string | undefined): boolean {
		const hint = error instanceof PeerCallError && error.peerCode === 'not-leader' ? (error.data as {leader?: string} | undefined)?.leader : undefined;
		this._leader = hint === peer ? undefined : hint;
		return this._leader !== undefined;
	}

	private _nextVoter(): string | undefined {
		const voters = this._services.voters();
		return voters[this._nextIndex++ % voters.length];
	}
}
