import {type CommitResult} from '../consensus-group.js';
import {type SubsetResult} from '../subset-measure.js';
import {type ControlSamples} from './control-samples.js';
import {type EvidenceSample} from './evidence-samples.js';
import {type LedgerSamples} from './ledger-samples.js';
import {type Machine} from './machine.js';
import {type MemorySamples} from './memory-samples.js';
import {type SelectionSample} from './selection-samples.js';

/** All measurements of one run. */
export interface Samples {
	readonly machine: Machine & {readonly loadAfter: number; readonly seconds: number};
	readonly control: ControlSamples;
	readonly memory: MemorySamples;
	readonly evidence: readonly EvidenceSample[];
	readonly ledger: LedgerSamples;
	readonly selection: readonly SelectionSample[];
	readonly subsetPlans: ReadonlyArray<readonly [daemons: number, result: SubsetResult]>;
	readonly commits: readonly CommitResult[];
}
