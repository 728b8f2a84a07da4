import {type AppError} from '../base/app-error.js';
import {type Clock} from '../base/clock.js';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../base/peer-errors.js';
import {type PeerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {sleep} from '../base/sleep.js';
import {ControlUnavailableError} from './control-errors.js';

/** Maximum backoff in milliseconds; a new leader must be found well within the duration of a lease. */
const maxBackoffMs = 200;
const initialBackoffMs = 10;
/** Maximum number of attempts that the error of an unanswered request describes. */
const maxDescribedAttempts = 6;
/** Maximum factor on the timeout of calls to a slow host. */
const maxTimeoutFactor = 4;
/** Time in milliseconds for which a host counts as slow after a call to it has timed out. */
const slowHostMs = 10_000;

/** Calls the leader among the voters. Follows the hints of voters that do not lead, and tries the next voter when one does not answer. */
export class LeaderClient {
	private _target: string | undefined;
	/** Leader named by a voter. It may be missing from the list of voters if it became a voter after the list was made. */
	private _hint: string | undefined;
	/** Leader that the log of this host named when a target was last chosen. */
	private _loggedLeader: string | undefined;
	private _failures = 0;
	/** Consecutive hints followed; more than one means that the voters do not agree on a leader yet. */
	private _redirects = 0;
	/** Timeout factors of hosts at which recent calls have timed out. Retries with a short timeout would keep a busy leader overloaded. */
	private readonly _slowHosts = new Map<string, {readonly factor: number; readonly until: number}>();

	constructor(
		private readonly _transport: PeerTransport,
		/** Names of the current voters; at least one. */
		private readonly _voters: () => readonly string[],
		private readonly _clock: Clock,
		private readonly _random: RandomSource,
		/** Leader according to the log of this host; undefined when unknown or when this host has no log. */
		private readonly _leaderByLog: () => string | undefined = () => undefined,
	) {}

	/** The presumed leader; undefined before the first call. */
	get target(): string | undefined {
		return this._target;
	}

	/** Failed attempts since the last reply of a leader. */
	get failures(): number {
		return this._failures;
	}

	/** Factor on the timeout of the next call: above 1 when recent calls to that host have timed out. */
	get timeoutFactor(): number {
		return this._target === undefined ? 1 : this._factorOf(this._target);
	}

	/** Whether a call to a host has timed out in the last seconds. */
	isSlow(host: string): boolean {
		return this._factorOf(host) > 1;
	}

	/** Backoff in milliseconds before the next attempt: 0 after a success, and short after the first hint. */
	get backoffMs(): number {
		if (this._redirects === 1) {
			return initialBackoffMs;
		}

		const maxMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** Math.min(this._failures, 10)));
		return this._failures === 0 ? 0 : maxMs * (0.5 + (this._random.next() / 2));
	}

	/** Calls the presumed leader once. @throws the errors of `PeerTransport.call`. */
	async attempt<Params, Result>(method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result> {
		const target = this._chooseTarget();
		try {
			const result = await this._transport.call(target, method, params, timeoutMs);
			if (this._target === target) {
				this._failures = 0;
				this._redirects = 0;
			}

			return result;
		} catch (error) {
			this._recordFailure(target, error);
			throw error;
		}
	}

	/**
	Retries an idempotent call until a leader answers.

	@throws PeerCallError when the leader refuses the call.
	@throws ControlUnavailableError when no leader answered in time; the call may have been executed.
	*/
	async request<Params, Result>(method: PeerMethod<Params, Result>, params: Params, limits: {attemptMs: number; deadlineMs: number}): Promise<Result> {
		const end = this._clock.now() + limits.deadlineMs;
		const outcomes: string[] = [];
		for (;;) {
			const sentAt = this._clock.now();
			const target = this._chooseTarget();
			try {
				// eslint-disable-next-line no-await-in-loop -- attempts follow each other
				return await this.attempt(method, params, Math.max(1, Math.min(limits.attemptMs, end - this._clock.now())));
			} catch (error) {
				if (!isRetryable(error)) {
					throw error;
				}

				outcomes.push(`${target}: ${describeFailure(error)} after ${Math.round(this._clock.now() - sentAt)} ms`);
				const waitMs = Math.max(initialBackoffMs, this.backoffMs);
				if (this._clock.now() + waitMs >= end) {
					const describedAttempts = outcomes.slice(-maxDescribedAttempts).join(', ');
					throw new ControlUnavailableError(`no control leader answered ${method.name} within ${limits.deadlineMs} ms; asked ${describedAttempts}`, {cause: error});
				}

				// eslint-disable-next-line no-await-in-loop -- waits between attempts
				await sleep(this._clock, waitMs);
			}
		}
	}

	private _factorOf(target: string): number {
		const slow = this._slowHosts.get(target);
		return slow && this._clock.now() < slow.until ? slow.factor : 1;
	}

	private _chooseTarget(): string {
		const loggedLeader = this._leaderByLog();
		if (loggedLeader !== undefined && loggedLeader !== this._loggedLeader) {
			this._target = loggedLeader;
			this._hint = loggedLeader;
		}

		this._loggedLeader = loggedLeader;
		const voters = this._voters();
		if (this._target === undefined || (this._target !== this._hint && !voters.includes(this._target))) {
			// Daemons start at random voters, so that no voter gets all first calls.
			this._target = voters[this._random.integer(voters.length)]!;
		}

		return this._target;
	}

	private _recordFailure(target: string, error: unknown): void {
		if (error instanceof PeerTimeoutError) {
			this._slowHosts.set(target, {factor: Math.min(maxTimeoutFactor, 2 * this._factorOf(target)), until: this._clock.now() + slowHostMs});
		}

		if (!isRetryable(error) || this._target !== target) {
			return;
		}

		this._failures++;
		if (error instanceof PeerCallError) {
			this._followHint(target, error);
		} else {
			this._rotate(target);
		}
	}

	private _followHint(target: string, error: PeerCallError): void {
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
		const first = voters.indexOf(target) + 1;
		const others = [...voters.slice(first), ...voters.slice(0, first)];
		// A host that has just let a call time out may stand still, and costs the time of another call.
		this._target = others.find(voter => voter !== target && !this.isSlow(voter)) ?? others[0];
	}
}

/** Describes the failure of an attempt by its code and, if the peer named one, the leader. */
function describeFailure(error: unknown): string {
	if (!(error instanceof PeerCallError)) {
		return (error as AppError).code;
	}

	const {leader} = (error.data ?? {}) as {leader?: string};
	return leader === undefined ? error.peerCode : `${error.peerCode}, leader ${leader}`;
}

/** Whether another attempt, perhaps at another voter, may succeed. */
function isRetryable(error: unknown): boolean {
	return error instanceof PeerTimeoutError || error instanceof PeerUnreachableError
		|| (error instanceof PeerCallError && (error.peerCode === 'not-leader' || error.peerCode === 'proposal-unknown'));
}
