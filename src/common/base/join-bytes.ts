/** Joins parts in their order; a single part is returned as it is. */
export function joinBytes(parts: readonly Uint8Array[]): Uint8Array {
	if (parts.length === 1) {
		return parts[0]!;
	}

	const joined = new Uint8Array(parts.reduce((sum, {length}) => sum + length, 0));
	let at = 0;
	for (const part of parts) {
		joined.set(part, at);
		at += part.length;
	}

	return joined;
}
