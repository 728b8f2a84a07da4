import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type RandomSource} from '../base/random-source.js';
import {type LogStorage} from '../consensus/log-storage.js';
import {type BackendProber} from '../control/backend-prober.js';
import {type EngineClient} from '../entry/engine-client.js';
import {type OrderClient} from '../orders/order-client.js';
import {type RatingClient} from '../routing/rating-client.js';
import {type HostConfig} from './host-config.js';

/** Dependencies of `Host`; the platform provides them. */
export interface HostServices {
	readonly cfg: HostConfig;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly transport: PeerTransport;
	readonly prober: BackendProber;
	readonly engines: EngineClient;
	readonly ratings: RatingClient;
	readonly orders: OrderClient;
	/** Advertised address for callers. */
	readonly callerAddress: string;
	/** Advertised address for peers, backend servers and operators. */
	readonly controlAddress: string;
	/** Opens the storage of one log; called only on voters. */
	openStorage(group: string): Promise<LogStorage>;
}
