import {type Clock} from '../common/base/clock.js';
import {sleep} from '../common/base/sleep.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type ControlHost} from '../common/host/control-host.js';
import {type SimulatedProcessor} from './simulated-processor.js';

/** A control host with its processor. */
export interface AnnouncementTarget {
	readonly control: ControlHost;
	readonly processor: SimulatedProcessor;
}

const announceMs = 1200;
const announceTimeoutMs = 1000;
const resendMs = 200;

/** Servers that announce themselves at intervals to a control host, and to another one after a failure. */
export class AnnouncingServers {
	/** Announcements without an acknowledgement within a second. */
	failed = 0;

	constructor(
		private readonly _clock: Clock,
		private readonly _service: string,
		/** Processor time in milliseconds of one announcement at a control host. */
		private readonly _costMs: number,
		/** Chooses the control host of the next announcement. */
		private readonly _choose: () => AnnouncementTarget,
	) {}

	/** Starts servers of a release, one after the other within a time in milliseconds. */
	async start(count: number, release: string, withinMs: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			void this._announce({
				id: `i-${release}-${index}`, incarnation: 1, address: `10.${release.slice(1)}.${Math.floor(index / 250)}.${index % 250}:8080`, zone: 'z', kind: 'engine',
				offers: [{ref: 'model-0@1', inputCost: 1, outputCost: 1}], services: [this._service], checksFencing: false, checksSender: false, capacity: 12, release,
			});
			await sleep(this._clock, withinMs / count); // eslint-disable-line no-await-in-loop -- one after the other
		}
	}

	private async _announce(server: BackendServer): Promise<void> {
		for (;;) {
			const timeout = new AbortController();
			// eslint-disable-next-line no-await-in-loop -- attempts follow each other
			const isAccepted = await Promise.race([this._call(this._choose(), server), this._timeOut(timeout.signal)]);
			timeout.abort();
			this.failed += isAccepted ? 0 : 1;
			await sleep(this._clock, isAccepted ? announceMs : resendMs); // eslint-disable-line no-await-in-loop -- interval or backoff
		}
	}

	private async _timeOut(signal: AbortSignal): Promise<boolean> {
		await sleep(this._clock, announceTimeoutMs, signal);
		return false;
	}

	private async _call({control, processor}: AnnouncementTarget, server: BackendServer): Promise<boolean> {
		await new Promise<void>(resolve => {
			processor.run(this._costMs, resolve);
		});
		try {
			return await control.announce(server);
		} catch {
			return false;
		}
	}
}
