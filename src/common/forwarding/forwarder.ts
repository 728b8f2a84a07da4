import {type ForwardRequest} from './forward-request.js';
import {ForwardRun} from './forward-run.js';
import {LeaseQueue} from './lease-queue.js';
import {type ForwardServices} from './forward-services.js';
import {type CallerSink, type Refusal} from './caller-sink.js';
import {ConfirmationQueue} from './confirmation-queue.js';
import {findRoute, type FoundRoute} from './find-route.js';
import {refuseQuarantined} from './request-quarantine.js';
import {
	notRunRefusal, quarantinedRefusal, stoppingReason, unconfirmedReason,
} from './router-refusals.js';
import {type Customer, type Route} from './routing-config.js';
import {type WaitingRequest} from './waiting-requests.js';

/** Time in seconds from the start of a host to its first lease when all hosts start together: startup, leader election and a renewal. */
const firstLeaseSeconds = 1.3;
/** Minimum time in seconds after which a caller may retry at a host that waits for a renewal: one renewal and one retry. */
const renewalRetrySeconds = 0.4;
/** Jitter in seconds of the retries of callers that were refused for want of a renewal. */
const renewalRetryJitterSeconds = 0.3;

/** A request that may be forwarded, with its route, customer and service. */
export interface AdmittedRequest {
	readonly req: ForwardRequest;
	readonly route: Route;
	readonly customer: Customer | undefined;
	/** Service to which the request is forwarded. */
	readonly service: string;
	readonly configVersion: number;
	/** Identifies the request and its repeats. */
	readonly digest: string;
	/** Arrival time on the host's monotonic clock in milliseconds. */
	readonly arrivedAt: number;
	/** Whether the request was admitted before, under another configuration. */
	readonly isReadmitted?: boolean;
}

/** A refusal, with what put the request under quarantine, for the log. */
type LoggedRefusal = Refusal & {readonly part?: string | undefined; readonly digest?: string};

/** Checks requests against the routing configuration and forwards those that it allows. */
export class Forwarder {
	private readonly _runs = new Set<ForwardRun>();
	private readonly _startedAt: number;
	private readonly _queue: LeaseQueue;
	private readonly _confirmations: ConfirmationQueue;
	private _isStopped = false;

	constructor(private readonly _services: ForwardServices) {
		this._startedAt = _services.clock.now();
		this._queue = new LeaseQueue(_services.clock, arrived => {
			this._forward(arrived, true);
		});
		this._confirmations = new ConfirmationQueue(_services.clock, () => {
			_services.confirmConfiguration();
		}, arrived => {
			this._forward(arrived, false);
		});
	}

	/** Number of requests in flight, including those that wait for a lease or a confirmation. */
	get active(): number {
		return this._runs.size + this._queue.size + this._confirmations.size;
	}

	/** Lengths of the queues of requests, by what they wait for. */
	get waiting(): {readonly lease: number; readonly confirmation: number; readonly connection: number} {
		return {lease: this._queue.size, confirmation: this._confirmations.size, connection: this._services.places.size};
	}

	/** Forwards or refuses a request. While the host has no lease, or cannot know whether its refusal is still right, the request may wait for a short time. */
	forward(req: ForwardRequest, sink: CallerSink): void {
		const {counters, logger, clock} = this._services;
		const arrived: WaitingRequest = {req, sink, arrivedAt: clock.now()};
		if (this._isStopped || this._canAdmit || !this._queue.offer(arrived)) {
			this._forward(arrived, true);
		} else {
			counters.increment('forward.waited');
			logger.info({req: req.id, waiting: this._queue.size, leaseLeftMs: this._leaseLeftMs}, 'request waits for the lease');
		}
	}

	/**
	Refuses a request for a limit of the applied configuration. While that one may be out of date, the request is refused as
	not run, without waiting: it was not read completely.

	@param id of the request, for the log; undefined when it cannot be read.
	*/
	refuse(refusal: Refusal, id: string | undefined, sink: CallerSink): void {
		if (this._isUnconfirmed) {
			this._confirmations.ask();
		}

		this._refuse(this._isUnconfirmed ? this._unconfirmedRefusal() : refusal, id, {sink, arrivedAt: this._services.clock.now()});
	}

	/** Forwards the waiting requests that can be decided; called when a lease was gained, or a configuration was applied or confirmed. */
	forwardWaiting(): void {
		if (this._canAdmit) {
			this._queue.flush();
			this._confirmations.release(({req}) => !this._isUnconfirmed || !('status' in this._find(req)));
		}
	}

	/** Ends the requests in flight and refuses those that wait or still arrive, because the process ends. */
	stop(): void {
		const {logger} = this._services;
		if (this.active > 0) {
			logger.warn({active: this.active, waiting: this._queue.size + this._confirmations.size}, 'requests are open at the end of the process');
		}

		this._isStopped = true;
		this._queue.flush();
		this._confirmations.release(() => true);
		for (const run of this._runs) {
			run.stop();
		}
	}

	/** Whether this host has a configuration and a valid lease. */
	private get _canAdmit(): boolean {
		return this._services.state().table !== undefined && this._services.lease.isValid();
	}

	/** Whether a newer configuration may have been in force for longer than the bound, or is known to exist. */
	private get _isUnconfirmed(): boolean {
		const {lease, clock, configurationBoundMs} = this._services;
		return lease.isSuperseded || clock.now() - lease.currentUntil > configurationBoundMs;
	}

	private get _leaseLeftMs(): number {
		return Math.round(this._services.lease.expiresAt - this._services.clock.now());
	}

	/** Time since which the applied configuration is not known to be the newest one. */
	private get _currentAgoMs(): number {
		return Math.round(this._services.clock.now() - this._services.lease.currentUntil);
	}

	private _forward(arrived: WaitingRequest, mayWait: boolean): void {
		const {req, sink} = arrived;
		const admitted = this._admit(arrived);
		if ('status' in admitted) {
			if (mayWait && admitted.code === unconfirmedReason) {
				this._confirmations.ask();
				if (this._confirmations.offer(arrived)) {
					const {counters, logger} = this._services;
					counters.increment('forward.waited-for-confirmation');
					logger.info({req: req.id, waiting: this._confirmations.size, currentAgoMs: this._currentAgoMs}, 'request waits for the confirmation of the configuration');
					return;
				}
			}

			this._refuse(admitted, req.id, arrived);
			return;
		}

		const run = new ForwardRun(this._services, admitted, sink, {
			onFinished: () => {
				this._runs.delete(run);
			},
			readmit: () => {
				this._forward({...arrived, isReadmitted: true}, true);
			},
		});
		this._runs.add(run);
		run.start();
	}

	private _refuse(refusal: LoggedRefusal, id: string | undefined, {sink, arrivedAt}: Pick<WaitingRequest, 'sink' | 'arrivedAt'>): void {
		const {clock, counters, logger, state} = this._services;
		counters.increment('forward.refused', 1, {code: refusal.code});
		logger.info({
			req: id, status: refusal.status, code: refusal.code, part: refusal.part, digest: refusal.digest, config: state().table?.cfg.version, leaseLeftMs: this._leaseLeftMs, currentAgoMs: this._currentAgoMs, waitedMs: Math.round(clock.now() - arrivedAt),
		}, 'request refused');
		sink.refuse(refusal);
	}

	/** Expected time in seconds until this host has a lease: the rest of the startup time, or at least the time of a renewal. */
	private _leaseWaitSeconds(): number {
		const {clock, random} = this._services;
		const untilFirst = firstLeaseSeconds - ((clock.now() - this._startedAt) / 1000);
		return Math.max(renewalRetrySeconds, untilFirst) + (random() * renewalRetryJitterSeconds);
	}

	private _unconfirmedRefusal(): Refusal {
		return {
			status: 503, code: unconfirmedReason, ran: 'no', retryAfterSeconds: renewalRetrySeconds + (this._services.random() * renewalRetryJitterSeconds),
		};
	}

	/** Looks up the route and the customer of a request in the applied configuration. */
	private _find(req: ForwardRequest): FoundRoute | Refusal {
		return findRoute(this._services.state().table!, req);
	}

	private _admit({req, arrivedAt, isReadmitted = false}: WaitingRequest): AdmittedRequest | LoggedRefusal {
		const {lease, state, random, digests} = this._services;
		if (this._isStopped) {
			return notRunRefusal(stoppingReason, random());
		}

		const {table} = state();
		if (!table || !lease.isValid()) {
			return {
				status: 503, code: table ? 'lease-expired' : 'not-configured', ran: 'no', retryAfterSeconds: this._leaseWaitSeconds(),
			};
		}

		const found = this._find(req);
		if ('status' in found) {
			return this._isUnconfirmed ? this._unconfirmedRefusal() : found;
		}

		const {route, customer} = found;
		const digest = digests.digest(req, customer?.name);
		const quarantine = refuseQuarantined(this._services, {req, digest});
		if (quarantine) {
			return {...quarantinedRefusal(quarantine.reason), part: quarantine.part, digest};
		}

		return {
			req, route, customer, service: pickService(route, random()), configVersion: table.cfg.version, digest, arrivedAt, isReadmitted,
		};
	}
}

/** Picks a service by weight. `at` is a number in [0, 1). */
function pickService({services}: Route, at: number): string {
	let left = at * services.reduce((sum, {weight}) => sum + weight, 0);
	for (const {service, weight} of services) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return services.findLast(({weight}) => weight > 0)!.service;
}
