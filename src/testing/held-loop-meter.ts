import process from 'node:process';
import {type Disposable} from '../common/base/disposable.js';

const sampleMs = 5;

/** Measures the longest time for which the event loop was held by work of this process; time that other processes took does not count. */
export class HeldLoopMeter implements Disposable {
	longestMs = 0;
	private _at = performance.now();
	private _usage = process.cpuUsage();
	private readonly _timer = setInterval(() => {
		const now = performance.now();
		const {user, system} = process.cpuUsage(this._usage);
		this.longestMs = Math.max(this.longestMs, Math.min(now - this._at - sampleMs, (user + system) / 1000));
		this._at = now;
		this._usage = process.cpuUsage();
	}, sampleMs);

	dispose(): void {
		clearInterval(this._timer);
	}
}
