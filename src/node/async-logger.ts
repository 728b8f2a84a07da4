import bunyan, {type LogLevelString} from 'bunyan';
import {SonicBoom} from 'sonic-boom';
import {type Logger} from '../common/base/logger.js';

/** Bytes that are buffered before a write, so that a busy process writes several lines at once. */
const minWriteBytes = 4096;
/** Maximum time in milliseconds that a line stays in the buffer. */
const flushIntervalMs = 200;
/** Maximum number of bytes buffered for a slow reader; lines beyond it are dropped and counted. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Creates a structured logger to standard output that never blocks. Lines for a slow reader are dropped and reported to `onDropped`. */
export function createAsyncLogger(level: LogLevelString, name: string, host: string, onDropped: (count: number) => void): Logger & {flush(): void} {
	const out = new SonicBoom({
		fd: 1, sync: false, minLength: minWriteBytes, maxLength: maxBufferedBytes, periodicFlush: flushIntervalMs,
	});
	out.on('drop', () => {
		onDropped(1);
	});
	out.on('error', () => {
		// The reader of the log has closed the stream; the process must continue.
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
