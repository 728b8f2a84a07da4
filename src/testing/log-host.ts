import {type Disposable} from '../common/base/disposable.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {type LogMember} from '../common/consensus/log-member.js';
import {type MemoryDisk} from './memory-disk.js';
import {type RecordingMachine} from './recording-machine.js';

/** One host of a `LogCluster`. */
export interface LogHost {
	readonly name: string;
	readonly disk: MemoryDisk;
	/** Number of starts. */
	starts: number;
	/** Whether the host has been started and not been killed since. */
	isUp: boolean;
	transport?: PeerTransport & Disposable;
	member?: LogMember<string, number>;
	machine?: RecordingMachine;
	/** Code of the error that stopped the member. */
	fatal?: string;
}
