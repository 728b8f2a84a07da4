import {BudgetAllocator} from '../admission/budget-allocator.js';
import {BudgetGranter} from '../admission/budget-sections.js';
import {BurnCollector} from '../burn/burn-collector.js';
import {burnMethod} from '../burn/burn-methods.js';
import {burnReport} from '../burn/burn-report.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type VoterLog} from '../control/control-node.js';
import {type ControlService} from '../control/control-service.js';
import {leaseMs} from '../control/control-times.js';
import {VersionSupervisor} from '../evidence/version-supervisor.js';
import {OrderIssuer} from '../orders/order-issuer.js';
import {LearntExchange} from '../routing/learnt-sections.js';
import {defaultLearningSettings} from '../routing/learning-settings.js';
import {type HostServices} from './host-services.js';

/** Dependencies of `LeaderDuties`. */
export type LeaderDutiesServices = Pick<HostServices, 'cfg' | 'clock' | 'counters' | 'logger' | 'orders' | 'transport'>;

/** Duties of the control leader: versions and their roll-outs, learnt estimates, burn rates and budgets, all based on the renewals; and orders to engines. */
export class LeaderDuties implements Disposable {
	private readonly _store = new DisposableStore();

	constructor({cfg, clock, counters, logger, orders, transport}: LeaderDutiesServices, {log, state}: VoterLog, service: ControlService) {
		const isLeading = () => service.leadership.period !== undefined;
		const supervisor = this._store.add(new VersionSupervisor({
			view: state,
			isLeading,
			propose: async command => log.propose(command),
			clock,
			logger,
		}));
		this._store.add(service.addSection(supervisor));
		this._store.add(new OrderIssuer({
			view: state, leadership: service.leadership, client: orders, clock, counters, logger, loadIntervalMs: cfg.loadIntervalSeconds * 1000,
		}));
		this._store.add(service.addSection(new LearntExchange(clock, defaultLearningSettings.halfLifeMs)));
		const collector = this._store.add(new BurnCollector({
			sums: state.burnSums, isLeading, propose: async command => log.propose(command), clock,
		}));
		this._store.add(service.addSection(collector));
		this._store.add(transport.handle(burnMethod, async () => {
			service.leadership.requirePeriod();
			return burnReport(state, {minutes: collector.minutes(), hours: collector.hours()}, clock.wallTime());
		}));
		this._store.add(service.addSection(new BudgetGranter(state, clock, () => new BudgetAllocator(log.term, leaseMs, clock.now()))));
	}

	dispose(): void {
		this._store.dispose();
	}
}
