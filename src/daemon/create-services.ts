import {nullCounters} from '../common/base/null-counters.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {hashString} from '../common/base/hash-string.js';
import {createBunyanLogger} from '../node/bunyan-logger.js';
import {HttpPeerTransport} from '../node/http-peer-transport.js';
import {StatsdCounters} from '../node/statsd-counters.js';
import {SystemClock} from '../node/system-clock.js';
import {type DaemonServices} from './daemon-services.js';
import {type Settings} from './settings.js';

/** Creates the services of a daemon. `voterAddress` overrides the configured voter addresses when the operating system chooses the ports. */
export function createServices(cfg: Settings, voterAddress?: (host: string) => string | undefined): DaemonServices {
	const clock = new SystemClock();
	return {
		cfg,
		clock,
		// The seed differs between hosts and restarts, so that for example election timeouts differ.
		random: new SeededRandom(hashString(cfg.host, clock.wallTime() % 0x7F_FF_FF_FF)),
		counters: cfg.statsd === undefined ? nullCounters : new StatsdCounters(cfg.statsd, {host: cfg.host, zone: cfg.zone}),
		logger: createBunyanLogger(cfg.logLevel, cfg.host),
		transport: new HttpPeerTransport(cfg.host, voterAddress ?? (host => cfg.voters.get(host)), cfg.peerSecret),
	};
}
