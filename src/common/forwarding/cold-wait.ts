import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type AdmittedRequest} from './forwarder.js';

/** Largest part of the target latency that a request waits for a cold server. A caller that is refused asks another host, which may have room. */
const maxLatencyPart = 1 / 8;

/** Wait of one request until a cold server has room for it, when no other server can take it. */
export class ColdWait implements Disposable {
	private readonly _until: number;
	private _timer: Disposable | undefined;

	constructor(private readonly _clock: Clock, {route, arrivedAt}: AdmittedRequest) {
		this._until = arrivedAt + (route.targetLatencyMs * maxLatencyPart);
	}

	/** Whether the request waits. */
	get isWaiting(): boolean {
		return this._timer !== undefined;
	}

	/** Calls `onRoom` after a time in milliseconds. @returns false when the request may not wait for so long. */
	start(roomInMs: number, onRoom: () => void): boolean {
		this.dispose();
		if (this._clock.now() + roomInMs > this._until) {
			return false;
		}

		this._timer = this._clock.setTimer(roomInMs, () => {
			this._timer = undefined;
			onRoom();
		});
		return true;
	}

	dispose(): void {
		this._timer?.dispose();
		this._timer = undefined;
	}
}
