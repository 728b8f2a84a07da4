import {AdaptiveLimit} from '../admission/adaptive-limit.js';
import {BudgetLeases} from '../admission/budget-leases.js';
import {budgetLimits, BudgetReporter} from '../admission/budget-sections.js';
import {FairAdmission} from '../admission/fair-admission.js';
import {BurnCounter} from '../burn/burn-counter.js';
import {BurnReporter} from '../burn/burn-reporter.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type ControlNode} from '../control/control-node.js';
import {BackgroundRatings} from '../entry/background-ratings.js';
import {type EntryServices} from '../entry/entry-services.js';
import {explainMethod} from '../entry/explain-method.js';
import {ObservingPolicy} from '../entry/observing-policy.js';
import {EvidenceRecorder} from '../evidence/evidence-recorder.js';
import {EvidenceReporter} from '../evidence/evidence-reporter.js';
import {VersionGate} from '../evidence/version-gate.js';
import {FirstTokenTimes} from '../entry/first-token-times.js';
import {RequestHistory} from '../entry/request-history.js';
import {RetryBudget} from '../entry/retry-budget.js';
import {LearningCascadePolicy} from '../routing/learning-cascade-policy.js';
import {defaultLearningSettings} from '../routing/learning-settings.js';
import {LearntReporter} from '../routing/learnt-sections.js';
import {LoadAwareSelector} from '../routing/load-aware-selector.js';
import {BurnObserver} from './burn-observer.js';
import {type HostServices} from './host-services.js';
import {LedgerBinding} from './ledger-binding.js';

/** The services of a host that handle requests of callers. */
export class EntryCore implements Disposable {
	readonly services: EntryServices;
	/** Generates request IDs. */
	readonly ids: {next(): string};
	readonly selector: LoadAwareSelector;
	readonly policy: LearningCascadePolicy;
	/** Plans and outcomes of the most recent requests, for operators. */
	readonly requestHistory = new RequestHistory();
	private readonly _store = new DisposableStore();

	constructor(services: HostServices, private readonly _control: ControlNode) {
		const {cfg, clock, random} = services;
		const {follower, loads} = _control;
		const {view, lease} = follower;
		this.selector = new LoadAwareSelector(clock, random.fork('selector'), {zone: cfg.zone});
		this.policy = new LearningCascadePolicy(clock, defaultLearningSettings);
		const limit = new AdaptiveLimit(cfg.maxConcurrent);
		this._store.add(this.selector.onQueueDelay(delayMs => {
			limit.observe(delayMs, clock.now());
		}));
		this._store.add(follower.onRevision(() => {
			limit.setSlots(this._slotShare(cfg.maxConcurrent));
		}));
		this._store.add(loads.onLoads(received => {
			for (const {id, incarnation, ...load} of received) {
				this.selector.reportLoad(id, incarnation, load);
			}
		}));
		const recorder = new EvidenceRecorder(cfg.host, follower.incarnation);
		const reporter = new EvidenceReporter(recorder);
		const gate = this._store.add(new VersionGate({
			host: cfg.host, clock, view, recorder, reporter,
		}));
		const limits = new Set<string>();
		const budgets = new BudgetLeases(clock, cfg.host, follower.incarnation, key => limits.has(key));
		this._store.add(follower.onRevision(() => {
			limits.clear();
			for (const {key} of budgetLimits(view)) {
				limits.add(key);
			}
		}));
		follower.addSection(new LearntReporter(this.policy, clock, {host: cfg.host, incarnation: follower.incarnation}));
		follower.addSection(reporter);
		follower.addSection(new BudgetReporter(budgets, clock, () => limits.size > 0));
		const observer = this._observer(services);
		const ledger = this._store.add(new LedgerBinding(services, follower));
		this.ids = ledger;
		this.services = {
			...services,
			view,
			lease,
			admission: new FairAdmission(clock, limit, budgets),
			policy: new ObservingPolicy(this.policy, recorder, gate, observer),
			gate,
			selector: this.selector,
			backgroundRatings: this._store.add(new BackgroundRatings(services.ratings, clock, services.counters)),
			ledger,
			retryBudget: new RetryBudget(),
			firstTokenTimes: new FirstTokenTimes(),
			observer,
		};
	}

	dispose(): void {
		this._store.dispose();
	}

	private _observer({clock, transport}: HostServices): BurnObserver {
		const {follower} = this._control;
		const counter = new BurnCounter(clock);
		const observer = new BurnObserver({
			view: follower.view, counter, requestHistory: this.requestHistory, clock,
		});
		this._store.add(follower.onRevision(() => {
			observer.checkExposure();
		}));
		follower.addSection(new BurnReporter(counter, clock));
		this._store.add(transport.handle(explainMethod, async ({requestId}) => ({explanation: this.requestHistory.get(requestId)})));
		return observer;
	}

	/** This host's share of the concurrent requests of all backend servers, bounded by its own limit. */
	private _slotShare(maxConcurrent: number): number {
		const {backendServers, entryHosts} = this._control.follower.view;
		let slots = 0;
		for (const {capacity} of backendServers.values()) {
			slots += capacity;
		}

		return Math.max(1, Math.min(maxConcurrent, slots / Math.max(1, entryHosts.size)));
	}
}
