/**
Joins parts into one id. The id includes the length of each part except the last, so different lists of the same number
of parts have different ids. It is built with `join`, because a string built with `+` keeps its parts in memory.
*/
export function scopedId(...parts: readonly string[]): string {
	const pieces: Array<string | number> = [];
	for (let index = 0; index < parts.length - 1; index++) {
		pieces.push(parts[index]!.length, ':', parts[index]!);
	}

	pieces.push(parts.at(-1)!);
	return pieces.join('');
}
