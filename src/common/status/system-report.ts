import {type LeaderOverview} from '../control/leader-overview.js';
import {type EntryHost} from '../control/entry-host.js';
import {type QuarantineRecord} from '../control/quarantine-record.js';
import {type Bill} from '../ledger/ledger.js';
import {type RolloutState} from '../rollout/rollout-state.js';

/** State of the whole system, for operators. */
export interface SystemReport {
	/** Daemon that answered, and the last index of the control log that it has applied. */
	readonly host: string;
	readonly revision: number;
	/** Absent when no control leader answers. */
	readonly control?: LeaderOverview;
	readonly entryHosts: readonly EntryHost[];
	readonly rollouts: ReadonlyArray<RolloutState & {readonly service: string}>;
	readonly quarantines: readonly QuarantineRecord[];
	/** Requests of which it is unknown whether they ran; absent when no ledger leader answers. */
	readonly unknown?: readonly Bill[];
}
