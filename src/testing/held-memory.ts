import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Memory in bytes that this process holds: without garbage, with buffers outside of the heap. */
export function heldMemory(): number {
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
