import {hashString} from '../base/hash-string.js';

/** Length of one block of a prompt in characters: about 64 tokens. */
const blockCharacters = 256;
/** Maximum number of hashed blocks; it bounds the time spent on very long prompts. */
const maxBlocks = 64;

/** Hashes the prefixes of a prompt at block boundaries, shortest first. Each hash depends on all blocks up to its end. */
export function prefixHashes(prompt: string): number[] {
	const hashes: number[] = [];
	let previous = 0;
	for (let end = blockCharacters; end <= prompt.length && hashes.length < maxBlocks; end += blockCharacters) {
		previous = hashString(prompt.slice(end - blockCharacters, end), previous);
		hashes.push(previous);
	}

	return hashes;
}
