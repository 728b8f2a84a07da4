import {type VersionRef} from '../documents/version-ref.js';
import {type RolloutState} from '../rollout/rollout-state.js';
import {type BurnSumSnapshot} from './burn-sum-table.js';
import {type ChangeRecord} from './change-record.js';
import {type DirectorySnapshot} from './directory-state.js';
import {type DocumentRecord} from './document-record.js';
import {type Evacuation} from './evacuation-table.js';
import {type QuarantineRecord} from './quarantine-record.js';
import {type RoutingRecord} from './routing-record.js';
import {type ServiceRollout} from './service-rollout.js';

/** Stored form of the control state. */
export interface ControlStateSnapshot {
	readonly revision: number;
	readonly fencing: number;
	readonly documents: Array<[string, DocumentRecord]>;
	readonly removed: Array<[string, readonly VersionRef[]]>;
	readonly directory: DirectorySnapshot;
	readonly quarantines: Array<[string, QuarantineRecord]>;
	readonly lifted: Array<[string, number]>;
	readonly rollouts: Array<[string, RolloutState]>;
	readonly changes: Array<[string, ChangeRecord]>;
	/** This field and the following ones are absent in snapshots of earlier software versions. */
	readonly burn?: BurnSumSnapshot;
	readonly routing?: RoutingRecord;
	readonly serviceRollouts?: Array<[string, ServiceRollout]>;
	readonly quarantinedParts?: Array<[string, number]>;
	readonly quarantinedRequests?: Array<[string, number]>;
	readonly evacuations?: readonly Evacuation[];
}
