import {type Clock} from '../base/clock.js';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../base/peer-errors.js';
import {type PeerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';
import {ControlUnavailableError} from './control-errors.js';

/** Longest back-off in milliseconds: a new leader is to be found well within a lease. */
const maxBackoffMs = 200;
const firstBackoffMs = 10;
/** Greatest factor on the time-out of calls to a host that has let calls run out. */
const maxTimeoutFactor = 4;
/** Time in milliseconds for which a host counts as slow after a call has run out. */
const slowMs = 10_000;

/** Calls to the leader among the voters. Follows hints of other voters and rotates when a voter does not answer. */
export class LeaderLink {
	private _target: string | undefined;
	/** Leader that a voter named; it may have become a voter after the list was made. */
	private _hint: string | undefined;
	private _failures = 0;
	/** Hints followed in a row; more than one means that the voters do not agree yet. */
	private _redirects = 0;
	/** Factors on the time-outs of hosts whose last calls ran out; repeated calls with a short time-out would keep a busy leader busy. */
	private readonly _slow = new Map<string, {readonly factor: number; readonly until: number}>();

	constructor(
		private readonly _transport: PeerTransport,
		/** Names of the voters at present; at least one. */
		private readonly _voters: () => readonly string[],
		private readonly _clock: Clock,
		private readonly _random: RandomSource,
	) {}

	/** Failed attempts since the last reply of a leader. */
	get failures(): number {
		return this._failures;
	}

	/** Factor on the time-out of the next call: 1, and more when earlier calls to that host ran out. */
	get timeoutFactor(): number {
		return this._target === undefined ? 1 : this._factorOf(this._target);
	}

	/** Time in milliseconds to wait before the next attempt; 0 after a success, and short after a first hint. */
	get backoffMs(): number {
		if (this._redirects === 1) {
			return firstBackoffMs;
		}

		const longest = Math.min(maxBackoffMs, firstBackoffMs * (2 ** Math.min(this._failures, 10)));
		return this._failures === 0 ? 0 : longest * (0.5 + (this._random.next() / 2));
	}

	/** Calls the presumed leader once. @throws the errors of `PeerTransport.call`. */
	async attempt<Params, Result>(method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result> {
		const target = this._pick();
		try {
			const result = await this._transport.call(target, method, params, timeoutMs);
			if (this._target === target) {
				this._failures = 0;
				this._redirects = 0;
			}

			return result;
		} catch (error) {
			this._noteFailure(target, error);
			throw error;
		}
	}

	/**
	Repeats a call that is safe to repeat until a leader answers.

	@throws PeerCallError when the leader refuses the call.
	@throws ControlUnavailableError when no leader answered in time; the call may have been executed.
	*/
	async request<Params, Result>(method: PeerMethod<Params, Result>, params: Params, limits: {attemptMs: number; deadlineMs: number}): Promise<Result> {
		const end = this._clock.now() + limits.deadlineMs;
		for (;;) {
			try {
				// eslint-disable-next-line no-await-in-loop -- attempts follow each other
				return await this.attempt(method, params, Math.max(1, Math.min(limits.attemptMs, end - this._clock.now())));
			} catch (error) {
				if (!isRetryable(error)) {
					throw error;
				}

				const waitMs = Math.max(firstBackoffMs, this.backoffMs);
				if (this._clock.now() + waitMs >= end) {
					throw new ControlUnavailableError(`no control leader answered ${method.name} within ${limits.deadlineMs} ms`, {cause: error});
				}

				// eslint-disable-next-line no-await-in-loop -- waits between attempts
				await sleep(this._clock, waitMs);
			}
		}
	}

	private _factorOf(target: string): number {
		const slow = this._slow.get(target);
		return slow && this._clock.now() < slow.until ? slow.factor : 1;
	}

	private _pick(): string {
		const voters = this._voters();
		if (this._target === undefined || (this._target !== this._hint && !voters.includes(this._target))) {
			// Daemons begin at different voters, so that none gets all first calls.
			this._target = voters[this._random.integer(voters.length)]!;
		}

		return this._target;
	}

	private _noteFailure(target: string, error: unknown): void {
		if (error instanceof PeerTimeoutError) {
			this._slow.set(target, {factor: Math.min(maxTimeoutFactor, 2 * this._factorOf(target)), until: this._clock.now() + slowMs});
		}

		if (!isRetryable(error) || this._target !== target) {
			return;
		}

		this._failures++;
		if (error instanceof PeerCallError) {
			this._follow(target, error);
		} else {
			this._rotate(target);
		}
	}

	private _follow(target: string, error: PeerCallError): void {
		if (error.peerCode === 'proposal-unknown') {
			return;
		}

		const hint = (error.data as {leader?: string} | undefined)?.leader;
		if (hint === undefined) {
			this._rotate(target);
		} else {
			this._redirects++;
			this._hint = hint;
			this._target = hint;
		}
	}

	private _rotate(target: string): void {
		const voters = this._voters();
		this._redirects = 0;
		this._hint = undefined;
		this._target = voters[(voters.indexOf(target) + 1) % voters.length];
	}
}

/** Whether another attempt, perhaps at another voter, may succeed. */
function isRetryable(error: unknown): boolean {
	return error instanceof PeerTimeoutError || error instanceof PeerUnreachableError
		|| (error instanceof PeerCallError && (error.peerCode === 'not-leader' || error.peerCode === 'proposal-unknown'));
}
