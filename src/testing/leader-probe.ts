import {type Clock} from '../common/base/clock.js';
import {PeerCallError} from '../common/base/peer-errors.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {commitIndexMethod} from '../common/control/control-methods.js';

const intervalMs = 50;
const timeoutMs = 5000;

/** Asks the leader at intervals whether it may act as such. */
export class LeaderProbe {
	/** Refused probes, and longest time until the leader answered one. */
	refused = 0;
	slowestMs = 0;

	/** `_leader` names the host that leads. */
	constructor(private readonly _clock: Clock, private readonly _leader: () => string | undefined) {}

	start(transport: PeerTransport): void {
		const leader = this._leader();
		if (leader !== undefined) {
			void this._send(transport, leader);
		}

		this._clock.setTimer(intervalMs, () => {
			this.start(transport);
		});
	}

	/** Forgets earlier probes. */
	reset(): void {
		this.refused = 0;
		this.slowestMs = 0;
	}

	private async _send(transport: PeerTransport, host: string): Promise<void> {
		const sentAt = this._clock.now();
		try {
			await transport.call(host, commitIndexMethod, {}, timeoutMs);
		} catch (error) {
			this.refused += error instanceof PeerCallError ? 1 : 0;
		}

		this.slowestMs = Math.max(this.slowestMs, this._clock.now() - sentAt);
	}
}
