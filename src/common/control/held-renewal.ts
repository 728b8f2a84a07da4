import {type Counters} from '../base/counters.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {endHoldMethod} from './control-methods.js';

/** Timeout in milliseconds of the call that ends a hold; a lost one costs the rest of the hold. */
const endHoldTimeoutMs = 500;

/** The renewal that a leader may be holding, which a daemon ends when it has to report something at once. */
export class HeldRenewal {
	/** Host that may hold a renewal of this daemon; undefined while none does. */
	holder: string | undefined;

	constructor(private readonly _transport: PeerTransport, private readonly _counters: Counters) {}

	/** Asks the leader to answer the renewal, if it may hold one. */
	end({host, incarnation}: {readonly host: string; readonly incarnation: number}): void {
		if (this.holder !== undefined) {
			void this._call(this.holder, {host, incarnation});
			this.holder = undefined;
		}
	}

	private async _call(holder: string, sender: {host: string; incarnation: number}): Promise<void> {
		try {
			await this._transport.call(holder, endHoldMethod, sender, endHoldTimeoutMs);
		} catch {
			// Leaders of earlier releases do not know the call and hold renewals for a shorter time.
			this._counters.increment('control.end-hold-failures');
		}
	}
}
