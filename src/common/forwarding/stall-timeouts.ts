import {type Route} from './routing-config.js';

/** Minimum time in milliseconds to wait for the head of an answer before another backend server is asked. */
const minHeadTimeoutMs = 300;
/** Multiple of the target pause between events of a stream after which it is resumed at another backend server. */
const pauseTimeoutFactor = 2;
/** Minimum of that time in milliseconds. */
const minPauseTimeoutMs = 1000;

/** Time in milliseconds to wait for the head of an answer: its target latency, after which it is late anyway. */
export function headTimeoutMs({targetLatencyMs}: Route): number {
	return Math.max(minHeadTimeoutMs, targetLatencyMs);
}

/** Time in milliseconds to wait for the next event of a stream; 0 for other answers. */
export function pauseTimeoutMs({targetPauseMs}: Route): number {
	return targetPauseMs > 0 ? Math.max(minPauseTimeoutMs, targetPauseMs * pauseTimeoutFactor) : 0;
}
