import {type BackendLoad} from './backend-load.js';

/**
Load of one incarnation of a backend server on the wire: id, incarnation, age in milliseconds, then the fields of
`BackendLoad`. A tuple takes half the bytes of an object; loads are the largest part of a renewal.
*/
export type LoadTuple = readonly [id: string, incarnation: number, ageMs: number, running: number, queued: number, queuedTokens: number, prefillRate: number, decodeRate: number];

/** Load of one incarnation of a backend server with its age in milliseconds. */
export interface AgedLoad extends BackendLoad {
	readonly id: string;
	readonly incarnation: number;
	readonly ageMs: number;
}

export function toLoadTuple(load: AgedLoad): LoadTuple {
	const {id, incarnation, ageMs, running, queued, queuedTokens, prefillRate, decodeRate} = load;
	return [id, incarnation, Math.round(ageMs), running, queued, queuedTokens, Math.round(prefillRate), Math.round(decodeRate)];
}

export function fromLoadTuple([id, incarnation, ageMs, running, queued, queuedTokens, prefillRate, decodeRate]: LoadTuple): AgedLoad {
	return {
		id, incarnation, ageMs, running, queued, queuedTokens, prefillRate, decodeRate,
	};
}
