import {StatsD} from 'hot-shots';
import {type Counters, type Tags} from '../common/base/counters.js';
import {type Disposable} from '../common/base/disposable.js';

/** Sends metrics over UDP with the StatsD protocol. */
export class StatsdCounters implements Counters, Disposable {
	private readonly _client: StatsD;

	/** `address` is `host:port`; `globalTags` are added to every metric. */
	constructor(address: string, globalTags: Tags) {
		const at = address.lastIndexOf(':');
		this._client = new StatsD({
			host: address.slice(0, at),
			port: Number(address.slice(at + 1)),
			prefix: 'catkinbeam.',
			globalTags: {...globalTags},
			maxBufferSize: 1400,
			// A failure to send metrics must never affect requests.
			errorHandler() {
				return undefined;
			},
		});
	}

	increment(name: string, value = 1, tags?: Tags): void {
		this._client.increment(name, value, {...tags});
	}

	gauge(name: string, value: number, tags?: Tags): void {
		this._client.gauge(name, value, {...tags});
	}

	timing(name: string, durationMs: number, tags?: Tags): void {
		this._client.timing(name, durationMs, {...tags});
	}

	dispose(): void {
		this._client.close(() => undefined);
	}
}
