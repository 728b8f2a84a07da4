import {hashString} from '../base/hash-string.js';
import {type RandomSource} from '../base/random-source.js';
import {type Member} from './member.js';

const hexDigits = 8;
const twoPow32 = 0x1_00_00_00_00;

/** Creates an identity: the host name plus 64 random bits, so that a host that lost its disk rejoins as a new member. */
export function newIdentity(host: string, random: RandomSource): string {
	const part = () => hex(random.integer(twoPow32));
	return `${host}-${part()}${part()}`;
}

/** Identifier of a group, derived from the identities of its initial members. Members refuse requests of other groups. */
export function groupIdOf(initialMembers: readonly Member[]): string {
	const ids = initialMembers.map(member => member.id).sort().join(',');
	return `${hex(hashString(ids))}${hex(hashString(ids, 1))}`;
}

function hex(value: number): string {
	return value.toString(16).padStart(hexDigits, '0');
}
