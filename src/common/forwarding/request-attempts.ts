import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {mayRepeat} from './may-repeat.js';
import {type RepeatPurpose} from './repeat-budget.js';

/** Minimum time in milliseconds until the deadline for another attempt. */
const minRetryTimeMs = 50;

/** Counts the attempts of one request and decides whether another one is allowed. */
export class RequestAttempts {
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Keys of the servers to which the request was sent. */
	readonly tried = new Set<string>();
	private readonly _maxAttempts: number;
	private _count = 0;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest, private readonly _deadlineAt: number) {
		const {route, req} = _admitted;
		this.isRepeatable = mayRepeat(route);
		this._maxAttempts = Math.min(route.maxAttempts, req.attemptsLeft ?? Infinity);
	}

	/** Number of attempts that were sent. */
	get count(): number {
		return this._count;
	}

	get hasTime(): boolean {
		return this._deadlineAt - this._services.clock.now() > minRetryTimeMs;
	}

	/** Number of attempts that are left; at least 1, for one that was taken back. */
	get left(): number {
		return Math.max(1, this._maxAttempts - this._count);
	}

	/** Whether the route and the time allow another run of the request. */
	get mayRunAgain(): boolean {
		return this.isRepeatable && this._count < this._maxAttempts;
	}

	/** Records an attempt at a server. */
	add(server: string): void {
		this._count++;
		this.tried.add(server);
	}

	/** Takes back the last attempt, of which no byte was sent. A server that is named may be tried again later. */
	withdraw(server?: string): void {
		this._count--;
		if (server !== undefined) {
			this.tried.delete(server);
		}
	}

	/** Takes a repeat from the budget, if attempts and time are left. @returns whether the request may be sent again. */
	takeRepeat(purpose: RepeatPurpose): boolean {
		const {service} = this._admitted;
		return this._count < this._maxAttempts && this.hasTime && this._services.budget(service).take(purpose);
	}
}
