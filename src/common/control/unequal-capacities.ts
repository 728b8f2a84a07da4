import {type EntryHost, knownCapacity} from './entry-host.js';

/** Ratio of the largest to the smallest capacity from which the machines of a deployment count as unequal. */
const minRatio = 1.5;

/** Whether entry hosts state capacities that differ much. */
export function hasUnequalCapacities(hosts: Iterable<EntryHost>): boolean {
	let smallest = Infinity;
	let largest = 0;
	for (const entry of hosts) {
		const capacity = knownCapacity(entry);
		if (capacity !== undefined) {
			smallest = Math.min(smallest, capacity);
			largest = Math.max(largest, capacity);
		}
	}

	return largest >= smallest * minRatio;
}
