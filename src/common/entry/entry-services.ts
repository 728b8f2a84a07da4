import {type AdmissionController} from '../admission/admission-controller.js';
import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type RandomSource} from '../base/random-source.js';
import {type ConfigLease} from '../control/config-lease.js';
import {type ControlView} from '../control/control-view.js';
import {type VersionGate} from '../evidence/version-gate.js';
import {type BackendSelector} from '../routing/backend-selector.js';
import {type CascadePolicy} from '../routing/cascade-policy.js';
import {type RatingClient} from '../routing/rating-client.js';
import {type BackgroundRatings} from './background-ratings.js';
import {type EngineClient} from './engine-client.js';
import {type FirstTokenTimes} from './first-token-times.js';
import {type LedgerAccess} from './ledger-access.js';
import {type RequestObserver} from './request-observer.js';
import {type RetryBudget} from './retry-budget.js';

/** Dependencies of the request handling on an entry host. */
export interface EntryServices {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly view: ControlView;
	readonly lease: ConfigLease;
	readonly admission: AdmissionController;
	readonly policy: CascadePolicy;
	readonly gate: VersionGate;
	readonly selector: BackendSelector;
	readonly engines: EngineClient;
	readonly ratings: RatingClient;
	readonly backgroundRatings: BackgroundRatings;
	readonly ledger: LedgerAccess;
	/** Budget for retries and hedges, shared by all requests of this entry host. */
	readonly retryBudget: RetryBudget;
	readonly firstTokenTimes: FirstTokenTimes;
	readonly observer: RequestObserver;
}
