import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type LogStorage} from './log-storage.js';
import {type QuorumRule} from './quorum-rule.js';
import {type StateMachine} from './state-machine.js';

/** What a member of a group needs. */
export interface MemberOptions<Command, Result> {
	/** Name of the group; several groups may run in one process. */
	readonly group: string;
	/** Region of this host. */
	readonly region: string;
	/** Hosts that create the group. Only these hosts are admitted to it, unless `isOpen`. */
	readonly voterHosts: readonly string[];
	/**
	Whether any host is admitted as voter. A host that was added later replaces a voter that has been silent for
	`lostVoterMs`; without a host to replace it, a silent voter stays.
	*/
	readonly isOpen?: boolean;
	/** Hosts to which a member that is no voter presents itself; `voterHosts` by default. */
	readonly contacts?: () => readonly string[];
	/**
	Whether the group may be created. A new group is created only when every voter host confirms that it holds none,
	so the flag may stay set for later starts.
	*/
	readonly isBootstrap: boolean;
	readonly clock: Clock;
	/** Time of the clock at which the process started; shortens the first election after a restart. */
	readonly startedAt?: number;
	readonly random: RandomSource;
	readonly transport: PeerTransport;
	readonly storage: LogStorage;
	readonly machine: StateMachine<Command, Result>;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Plain majority by default. */
	readonly rule?: QuorumRule;
	/** Entries applied between two snapshots; 10,000 by default. */
	readonly snapshotInterval?: number;
	/** Size of the entries applied between two snapshots, in characters of JSON; 16 Mi by default. */
	readonly snapshotSize?: number;
	/** Entries kept behind a snapshot for followers that lag; 5,000 by default. */
	readonly retainedEntries?: number;
	/** Size of the entries kept behind a snapshot, in characters of JSON; 8 Mi by default. */
	readonly retainedSize?: number;
}
