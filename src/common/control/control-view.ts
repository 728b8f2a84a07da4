import {type VersionRef} from '../documents/version-ref.js';
import {type RolloutState} from '../rollout/rollout-state.js';
import {type BackendServer} from './backend-server.js';
import {type DocumentRecord} from './document-record.js';
import {type EntryHost} from './entry-host.js';
import {type Evacuation} from './evacuation-table.js';
import {type QuarantineRecord} from './quarantine-record.js';
import {type RoutingRecord} from './routing-record.js';
import {type ServiceRollout} from './service-rollout.js';

/** Read access to the applied control state of this daemon. */
export interface ControlView {
	/** Index of the last applied command. */
	readonly revision: number;
	readonly documents: ReadonlyMap<string, DocumentRecord>;
	/** Live backend servers by id. */
	readonly backendServers: ReadonlyMap<string, BackendServer>;
	/** Entry hosts by name, leaving ones included. */
	readonly entryHosts: ReadonlyMap<string, EntryHost>;
	readonly quarantines: Iterable<QuarantineRecord>;
	/** Roll-outs by service, finished ones included. */
	readonly rollouts: ReadonlyMap<string, RolloutState>;
	/** Roll-outs of releases by service, finished ones included. */
	readonly serviceRollouts: ReadonlyMap<string, ServiceRollout>;
	/** The current routing configuration; undefined before the first one. */
	readonly routing: RoutingRecord | undefined;
	/** Revisions at which parts of prompts were quarantined, by part; servers end when they begin an answer on such a part. */
	readonly quarantinedParts: ReadonlyMap<string, number>;
	/** Revisions at which requests were quarantined, by digest. */
	readonly quarantinedRequests: ReadonlyMap<string, number>;
	/** Last order on the evacuation of each zone, withdrawals included. */
	readonly evacuations: ReadonlyMap<string, Evacuation>;
	/** Zones whose backend servers get no requests. */
	readonly evacuatedZones: ReadonlySet<string>;
	isQuarantined(service: string, requestClass: string, ref: VersionRef): boolean;
	/** Revision at which a quarantine of the version was lifted; undefined when none was. */
	liftedAt(service: string, requestClass: string, ref: VersionRef): number | undefined;
	/** Highest incarnation of an entry host that has expired; undefined without a tombstone. */
	expiredEntryIncarnation(host: string): number | undefined;
}
