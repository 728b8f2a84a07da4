import {type ServerRecord} from './server-pool.js';
import {type WeightOf} from './server-weights.js';

/**
Returns the zone whose servers a request prefers. Requests stay in their own zone as far as its servers handle the share that
their number implies; the rest goes to the zones with faster servers, in proportion to what these handle beyond their share.

@param at Number in [0, 1) by which the request is assigned.
*/
export function weightedZone(servers: readonly ServerRecord[], own: string, weightOf: WeightOf, at: number): string {
	const zones = new Map<string, {count: number; weight: number}>();
	let total = 0;
	for (const record of servers) {
		const {zone} = record.server;
		const sums = zones.get(zone) ?? {count: 0, weight: 0};
		const weight = weightOf(record);
		total += weight;
		zones.set(zone, {count: sums.count + 1, weight: sums.weight + weight});
	}

	const ownSums = zones.get(own);
	const mean = total / servers.length;
	const stayShare = ownSums ? ownSums.weight / (mean * ownSums.count) : 1;
	if (at < stayShare) {
		return own;
	}

	const surpluses = [...zones].map(([zone, {count, weight}]) => ({zone, surplus: Math.max(0, weight - (mean * count))})).sort((left, right) => left.zone < right.zone ? -1 : 1);
	let left = (at - stayShare) / (1 - stayShare) * surpluses.reduce((sum, {surplus}) => sum + surplus, 0);
	for (const {zone, surplus} of surpluses) {
		left -= surplus;
		if (left < 0) {
			return zone;
		}
	}

	return own;
}
