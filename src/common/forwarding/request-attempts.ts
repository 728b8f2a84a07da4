import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {mayRepeat} from './may-repeat.js';

/** Minimum time in milliseconds until the deadline for another attempt. */
const minRetryTimeMs = 50;

/** Counts the attempts of one request and decides whether another one is allowed. */
export class RequestAttempts {
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	/** Keys of the servers to which the request was sent. */
	readonly tried = new Set<string>();
	private _count = 0;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest, private readonly _deadlineAt: number) {
		this.isRepeatable = mayRepeat(_admitted.route);
	}

	/** Number of attempts that were sent. */
	get count(): number {
		return this._count;
	}

	get hasTime(): boolean {
		return this._deadlineAt - this._services.clock.now() > minRetryTimeMs;
	}

	/** Whether the route and the time allow another run of the request. */
	get mayRunAgain(): boolean {
		return this.isRepeatable && this._count < this._admitted.route.maxAttempts;
	}

	/** Records an attempt at a server. */
	add(server: string): void {
		this._count++;
		this.tried.add(server);
	}

	/** Takes back the last attempt, of which no byte was sent. */
	withdraw(): void {
		this._count--;
	}

	/** Takes a retry from the budget, if attempts and time are left. @returns whether the request may be sent again. */
	takeRetry(): boolean {
		const {route, service} = this._admitted;
		return this._count < route.maxAttempts && this.hasTime && this._services.budget(service).take();
	}
}
