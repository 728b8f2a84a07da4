import {availableParallelism, loadavg, totalmem} from 'node:os';
import process from 'node:process';

/** Machine on which a measurement ran. */
export interface Machine {
	readonly cores: number;
	readonly memoryGib: number;
	readonly node: string;
	/** Load average of the last minute, which includes processes of other users. */
	readonly load: number;
}

/** Describes the machine without its name. */
export function measureMachine(): Machine {
	return {
		cores: availableParallelism(), memoryGib: Math.round(totalmem() / (2 ** 30)), node: process.version, load: loadavg()[0]!,
	};
}
