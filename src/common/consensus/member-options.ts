import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type LogStorage} from './log-storage.js';
import {type QuorumRule} from './quorum-rule.js';
import {type StateMachine} from './state-machine.js';

/** Options of a `LogMember`. */
export interface MemberOptions<Command, Result> {
	/** Name of the group; several groups may run in one process. */
	readonly group: string;
	/** Region of this host. */
	readonly region: string;
	/** Hosts that create the group. Only these hosts are admitted to it, unless `isOpenGroup` is set. */
	readonly voterHosts: readonly string[];
	/**
	Whether any host is admitted as a voter. A host that joins after the creation of the group replaces a voter that has
	not responded for `lostVoterMs`. Without a replacement, an unresponsive voter stays in the group.
	*/
	readonly isOpenGroup?: boolean;
	/** Hosts to which a member that is not a voter sends hello requests; `voterHosts` by default. */
	readonly contacts?: () => readonly string[];
	/**
	Whether the group may be created. It is created only if every voter host confirms that it belongs to none, so the
	flag may stay set on later starts.
	*/
	readonly isBootstrap: boolean;
	readonly clock: Clock;
	/** Start time of the process on `clock`; shortens the first election after a restart. */
	readonly startedAt?: number;
	readonly random: RandomSource;
	readonly transport: PeerTransport;
	readonly storage: LogStorage;
	readonly machine: StateMachine<Command, Result>;
	/**
	Highest version of commands that the machine applies; 1 by default. Members of different software versions may form a
	group: a command of a later version may only be proposed once all members apply it.
	*/
	readonly commandVersion?: number | undefined;
	/**
	Minimum interval in milliseconds between two batches of new entries that this member sends as a leader; 0 by default. Entries of a burst
	then share the calls to the other members, and a proposal in a burst takes up to this time longer.
	*/
	readonly appendIntervalMs?: number;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Majority of all voters by default. */
	readonly rule?: QuorumRule;
	/** Number of entries applied between two snapshots; 10,000 by default. */
	readonly snapshotInterval?: number;
	/** Size of the entries applied between two snapshots, in characters of JSON; 16 Mi by default. */
	readonly snapshotSize?: number;
	/** Maximum number of entries retained after a snapshot for followers that lag; 5,000 by default. */
	readonly retainedEntries?: number;
	/** Maximum size of the entries retained after a snapshot, in characters of JSON; 8 Mi by default. */
	readonly retainedSize?: number;
}
