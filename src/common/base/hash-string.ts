/** 32-bit FNV-1a hash with a final mix. Stable across processes and releases; not cryptographically secure. */
/* eslint-disable no-bitwise -- the hash is defined by bit operations */
export function hashString(text: string, seed = 0): number {
	let hash = 0x81_1C_9D_C5 ^ seed;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- code units are enough and faster
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	// Without the final mix, inputs that differ only in their last characters would have similar hashes.
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
