import bunyan, {type LogLevelString} from 'bunyan';
import {SonicBoom} from 'sonic-boom';
import {type Logger} from '../common/base/logger.js';

/** Bytes that are buffered before a write, so that a busy process writes several lines at once. */
const minWriteBytes = 4096;
/** Maximum time in milliseconds that a line stays in the buffer. */
const flushIntervalMs = 200;
/** Maximum number of bytes buffered for a slow reader; lines beyond it are dropped and counted. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Maximum time in milliseconds that a flush waits for a reader that takes nothing. */
const maxFlushMs = 500;
/** Longest pause in milliseconds between two attempts of a flush, as the writer takes it. */
const flushPauseMs = 100;

/** Logger whose buffered lines can be written at once. */
export type FlushingLogger = Logger & {
	/** Writes all lines. Never throws; lines that the reader does not take are dropped. */
	flush(): void;
};

/** Creates a structured logger to standard output that never blocks. Lines for a slow reader are dropped and reported to `onDropped`. */
export function createAsyncLogger(level: LogLevelString, name: string, host: string, onDropped: (count: number) => void): FlushingLogger {
	let flushAttempts: number | undefined;
	const out = new SonicBoom({
		fd: 1,
		sync: false,
		minLength: minWriteBytes,
		maxLength: maxBufferedBytes,
		periodicFlush: flushIntervalMs,
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the package
		retryEAGAIN: () => flushAttempts === undefined || flushAttempts++ * flushPauseMs < maxFlushMs,
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
			flushAttempts = 0;
			try {
				out.flushSync();
			} catch {
				// The reader has closed the stream or takes nothing; the process must not end or wait for it.
				onDropped(1);
			} finally {
				flushAttempts = undefined;
			}
		},
	});
}
