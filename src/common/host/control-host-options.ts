import {type AddressCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type TextCodec} from '../base/text-codec.js';
import {type LogStorage} from '../consensus/log-storage.js';
import {type ExposureLimit} from '../release/exposure-limit.js';

/** Options of `ControlHost`. */
export interface ControlHostOptions {
	readonly region: string;
	/** Peer names of the hosts that create the control group. */
	readonly seeds: () => readonly string[];
	/** Whether this host may create the control group. */
	readonly isBootstrap: boolean;
	readonly clock: Clock;
	/** Clock that steps of the time of day do not advance, for times that must not end early; `clock` when undefined. */
	readonly steadyClock?: Clock | undefined;
	/** Clock time at which the process started. */
	readonly startedAt: number;
	readonly random: RandomSource;
	readonly transport: PeerTransport;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly storage: LogStorage;
	/** Tells whether backend servers that entry hosts report have ended. */
	readonly addresses: AddressCheck;
	/** Time in milliseconds after a request for which its session counts as active. */
	readonly sessionMs: number;
	/** Limit on the requests that a release under a roll-out receives. */
	readonly exposureLimit: ExposureLimit;
	/** Time in seconds for which callers cache the list of entry hosts. */
	readonly keepSeconds: number;
	/** Maximum number of entry hosts in a list; without it all are listed. */
	readonly maxListed?: number;
	/** Codec of routing configurations in the log and in transfers; all hosts use the same one. */
	readonly codec: TextCodec;
	/** Time in milliseconds after its acknowledgement at which a routing configuration must be in force. */
	readonly configurationBoundMs?: number;
	/** Returns the times in milliseconds for which servers are cold after their start, by service of a routing configuration. Without it no server counts as cold. */
	readonly parseColdStarts?: (source: string) => ReadonlyMap<string, number>;
}
