import {BudgetLeases} from '../src/common/admission/budget-leases.js';
import {type BudgetGrant} from '../src/common/admission/budget-messages.js';
import {BudgetReporter} from '../src/common/admission/budget-sections.js';
import {limitKey} from '../src/common/admission/limit-key.js';
import {type Clock} from '../src/common/base/clock.js';
import {type RandomSource} from '../src/common/base/random-source.js';
import {type RenewReply} from '../src/common/control/renew-message.js';
import {EvidenceRecorder} from '../src/common/evidence/evidence-recorder.js';
import {EvidenceReporter} from '../src/common/evidence/evidence-reporter.js';
import {type EvidenceReply} from '../src/common/evidence/evidence-section.js';
import {versionsOf} from './control-rig-data.js';

/** Request load of each daemon. */
export interface TrafficSetting {
	readonly customers: number;
	readonly requestsPerSecond: number;
}

const requestClasses = ['urgent-short', 'short', 'medium', 'long'];
const tokensPerRequest = 400;
const ratedShare = 0.1;
const escalatedShare = 0.2;

/** Sections that the requests of one daemon add to its renewals: evidence on versions and demand of customers. */
export class RigTraffic {
	private readonly _recorder: EvidenceRecorder;
	private readonly _evidence: EvidenceReporter;
	private readonly _leases: BudgetLeases;
	private readonly _budgets: BudgetReporter;
	private readonly _versions = versionsOf(0);
	private _pendingRequests = 0;

	constructor(host: string, clock: Clock, private readonly _random: RandomSource, private readonly _setting: TrafficSetting) {
		this._recorder = new EvidenceRecorder(host, 1);
		this._evidence = new EvidenceReporter(this._recorder);
		this._leases = new BudgetLeases(clock, host, 1, () => true);
		this._budgets = new BudgetReporter(this._leases, clock, () => true);
	}

	/** Records the requests of one second. */
	recordOneSecond(): void {
		this._pendingRequests += this._setting.requestsPerSecond;
		for (; this._pendingRequests >= 1; this._pendingRequests--) {
			const random = this._random;
			const subject = {
				service: 'service-0',
				requestClass: requestClasses[random.integer(requestClasses.length)]!,
				ref: this._versions[random.integer(this._versions.length)]!,
				escalated: random.next() < escalatedShare,
			};
			this._recorder.addAnswer(subject, {result: 'answered', firstTokenMs: 300, betweenTokensMs: 30});
			if (random.next() < ratedShare) {
				this._recorder.addRating(subject, 0.9);
			}

			this._leases.take(limitKey('service-0', `customer-${random.integer(this._setting.customers)}`), tokensPerRequest);
		}
	}

	/** Sections of the renewal. */
	collect(term: number): Readonly<Record<string, unknown>> {
		return {[this._evidence.section.name]: this._evidence.collect(term), [this._budgets.section.name]: this._budgets.collect()};
	}

	/** Passes on the sections of the reply. */
	acknowledge({term, parts}: RenewReply): void {
		this._evidence.acknowledge(term, undefined, parts[this._evidence.section.name] as EvidenceReply | undefined);
		this._budgets.acknowledge(term, undefined, parts[this._budgets.section.name] as BudgetGrant | undefined);
	}
}
