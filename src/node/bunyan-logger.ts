import bunyan, {type LogLevelString} from 'bunyan';
import {type Logger} from '../common/base/logger.js';

/** Creates a bunyan logger to standard output; `err` fields are serialised with their causes. */
export function createBunyanLogger(level: LogLevelString, host: string): Logger {
	return bunyan.createLogger({
		name: 'catkinbeamd', host, level, serializers: bunyan.stdSerializers,
	});
}
