import {type Clock} from '../common/base/clock.js';
import {type Counters} from '../common/base/counters.js';
import {type Logger} from '../common/base/logger.js';
import {type RandomSource} from '../common/base/random-source.js';
import {type HttpPeerTransport} from '../node/http-peer-transport.js';
import {type Settings} from './settings.js';

/** Services shared by all parts of the daemon. */
export interface DaemonServices {
	readonly cfg: Settings;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly transport: HttpPeerTransport;
}
