import {readFileSync} from 'node:fs';
import {type Disposable} from '../common/base/disposable.js';

const sampleMs = 5;

/** Returns the processor time in milliseconds of the main thread; that of the process includes its helper threads. */
function threadTimeMs(): number {
	return Number(readFileSync('/proc/self/schedstat', 'utf8').split(' ')[0]) / 1e6;
}

/** Measures the longest time for which the event loop was held by its own thread; time that other processes took does not count. */
export class HeldLoopMeter implements Disposable {
	longestMs = 0;
	private _at = performance.now();
	private _usedMs = threadTimeMs();
	private readonly _timer = setInterval(() => {
		const now = performance.now();
		const usedMs = threadTimeMs();
		this.longestMs = Math.max(this.longestMs, Math.min(now - this._at - sampleMs, usedMs - this._usedMs));
		this._at = now;
		this._usedMs = usedMs;
	}, sampleMs);

	dispose(): void {
		clearInterval(this._timer);
	}
}
