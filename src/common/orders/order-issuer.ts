import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Logger} from '../base/logger.js';
import {type BackendServer} from '../control/backend-server.js';
import {type ControlLeadership} from '../control/control-leadership.js';
import {type ControlView} from '../control/control-view.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {type VersionRef} from '../documents/version-ref.js';
import {isActive} from '../rollout/rollout-state.js';
import {planLoads} from './load-plan.js';
import {type OrderClient} from './order-client.js';
import {WeightLoadLimiter} from './weight-load-limiter.js';

/** Dependencies of `OrderIssuer`. */
export interface OrderIssuerOptions {
	readonly view: ControlView;
	readonly leadership: Pick<ControlLeadership, 'period' | 'fencingFor' | 'onStart'>;
	readonly client: OrderClient;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Minimum time in milliseconds between two loads in the whole system, set by the capacity of the weight store. */
	readonly loadIntervalMs: number;
}

type LoadNeed = {readonly service: string; readonly from: VersionRef; readonly to: VersionRef; readonly percentage: number};

const sweepIntervalMs = 500;
/** Time in milliseconds after which an engine that was ordered to load a version and does not offer it is ordered again. */
const retryAfterMs = 120_000;

/** Orders engines, on the control leader, to load the new versions of roll-outs before traffic moves to them. */
export class OrderIssuer implements Disposable {
	private readonly _store = new DisposableStore();
	private readonly _loadLimiter: WeightLoadLimiter;
	/** Time of the last order by engine incarnation and version. */
	private readonly _orderedAt = new Map<string, number>();

	constructor(private readonly _options: OrderIssuerOptions) {
		const {clock, loadIntervalMs, leadership} = _options;
		this._loadLimiter = new WeightLoadLimiter(clock, loadIntervalMs);
		this._store.add(leadership.onStart(() => {
			this._loadLimiter.reset();
			this._orderedAt.clear();
		}));
		this._store.add(new PeriodicSweep(clock, sweepIntervalMs, () => {
			this._sweep();
		}));
	}

	dispose(): void {
		this._store.dispose();
	}

	private _sweep(): void {
		if (!this._options.leadership.period) {
			return;
		}

		for (const need of this._loadNeeds()) {
			const {wanted, present, candidates} = planLoads(this._options.view.backendServers.values(), need, need.percentage);
			const loading = candidates.filter(server => this._isRecentlyOrdered(server, need.to)).length;
			const server = candidates.find(server => !this._isRecentlyOrdered(server, need.to));
			if (server && present + loading < wanted) {
				void this._order(server, need);
			}
		}
	}

	/** Versions and traffic percentage of the next step of each roll-out that is due to start or in progress. */
	private _loadNeeds(): LoadNeed[] {
		const {documents, rollouts} = this._options.view;
		return [...documents.values()].flatMap(({document: {service, rollout}, withdrawn}) => {
			if (!rollout || rollout.paused || withdrawn.includes(rollout.to)) {
				return [];
			}

			const state = rollouts.get(service);
			const isSame = state?.to === rollout.to && state.from === rollout.from;
			if (isSame && !isActive(state)) {
				return [];
			}

			const step = isSame ? Math.min(state.step + 1, rollout.steps.length - 1) : 0;
			return [{
				service, from: rollout.from, to: rollout.to, percentage: rollout.steps[step]!,
			}];
		});
	}

	private async _order(server: BackendServer, {service, to}: LoadNeed): Promise<void> {
		const {leadership, client, clock, counters, logger} = this._options;
		const fencing = leadership.fencingFor(server);
		// An engine that ignores fencing numbers gets orders only after the leases of an earlier leader have ended.
		if (fencing === undefined || !this._loadLimiter.tryAcquire()) {
			return;
		}

		const key = orderKey(server, to);
		this._orderedAt.set(key, clock.now());
		try {
			await client.send({
				kind: 'load', server, ref: to, fencing,
			});
			counters.increment('orders.loads', 1, {service});
			logger.info({
				service, server: server.id, ref: to, fencing,
			}, 'engine ordered to load a version');
		} catch (error) {
			// The engine may have executed the order nevertheless, so the retry waits like that of an accepted order.
			counters.increment('orders.failures', 1, {service});
			logger.warn({
				service, server: server.id, ref: to, err: error,
			}, 'engine did not accept an order');
		}
	}

	private _isRecentlyOrdered(server: BackendServer, ref: VersionRef): boolean {
		const at = this._orderedAt.get(orderKey(server, ref));
		return at !== undefined && this._options.clock.now() - at < retryAfterMs;
	}
}

function orderKey({id, incarnation}: BackendServer, ref: VersionRef): string {
	return `${id}#${incarnation}/${ref}`;
}
