import {type Logger} from '../common/base/logger.js';

/** Logger that records its lines. */
export class RecordingLogger implements Logger {
	readonly lines: Array<Record<string, unknown>> = [];

	/** Returns the lines with a message. */
	of(message: string): Array<Record<string, unknown>> {
		return this.lines.filter(line => line.message === message);
	}

	info(fields: Record<string, unknown>, message: string): void {
		this._record(fields, message);
	}

	warn(fields: Record<string, unknown>, message: string): void {
		this._record(fields, message);
	}

	error(fields: Record<string, unknown>, message: string): void {
		this._record(fields, message);
	}

	private _record(fields: Record<string, unknown>, message: string): void {
		this.lines.push({...fields, message});
	}
}
