import bunyan, {type LogLevelString} from 'bunyan';
import {SonicBoom} from 'sonic-boom';
import {type Logger} from '../common/base/logger.js';

/** Bytes collected before a write; a busy process writes once for several lines. */
const writeBytes = 4096;
/** Longest time in milliseconds that a line waits for others. */
const flushIntervalMs = 200;
/** Bytes waiting for a slow reader, above which lines are dropped and counted. */
const maxWaitingBytes = 4 * 1024 * 1024;

/** Structured log on standard output that never blocks: behind a slow reader lines are dropped, and `onDropped` tells how many. */
export function createAsyncLogger(level: LogLevelString, name: string, host: string, onDropped: (count: number) => void): Logger & {flush(): void} {
	const out = new SonicBoom({
		fd: 1, sync: false, minLength: writeBytes, maxLength: maxWaitingBytes, periodicFlush: flushIntervalMs,
	});
	out.on('drop', () => {
		onDropped(1);
	});
	out.on('error', () => {
		// Nobody reads the log; the process must go on.
		onDropped(1);
	});
	const logger = bunyan.createLogger({
		name, host, level, serializers: bunyan.stdSerializers, streams: [{stream: out as unknown as NodeJS.WritableStream, level}],
	});
	return Object.assign(logger, {
		flush() {
			out.flushSync();
		},
	});
}
