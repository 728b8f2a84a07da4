/** Difference of a text to a base: strings are new, pairs copy a range of the base by its start and length. */
export type TextDifference = ReadonlyArray<string | readonly [start: number, length: number]>;

/** Minimum length of a piece at which a copy begins. A shorter piece costs less than the range that would copy it. */
const minCopiedLength = 24;

/** Character after which a text is divided into pieces: the end of an object in JSON. */
const pieceEnd = '}';

/**
Computes the difference of a text to a base, in time proportional to both lengths. A piece of the text is copied if it also
occurs in the base; that suits structured texts, of which few pieces change.
*/
export function differenceOf(base: string, text: string): TextDifference {
	const suffixLength = commonSuffixLength(base, text);
	const textEnd = text.length - suffixLength;
	const starts = indexPieces(base, base.length - suffixLength);
	const difference: Array<string | [number, number]> = [];
	let copy: [start: number, length: number] | undefined;
	/** Start of the text that is neither copied nor in the difference yet. */
	let literalStart = 0;
	for (let start = 0, end: number; start < textEnd; start = end) {
		end = endOfPiece(text, start, textEnd);
		const piece = text.slice(start, end);
		if (copy && base.startsWith(piece, copy[0] + copy[1])) {
			copy[1] += piece.length;
			literalStart = end;
			continue;
		}

		const baseStart = starts.get(piece);
		if (baseStart === undefined) {
			copy = undefined;
			continue;
		}

		if (literalStart < start) {
			difference.push(text.slice(literalStart, start));
		}

		copy = [baseStart, piece.length];
		difference.push(copy);
		literalStart = end;
	}

	if (literalStart < textEnd) {
		difference.push(text.slice(literalStart, textEnd));
	}

	if (suffixLength > 0) {
		difference.push([base.length - suffixLength, suffixLength]);
	}

	return difference;
}

/** Applies a difference to the base from which it was computed. */
export function applyDifference(base: string, difference: TextDifference): string {
	return difference.map(part => typeof part === 'string' ? part : base.slice(part[0], part[0] + part[1])).join('');
}

/** Starts of the pieces of a text by their content; of equal ones the first. */
function indexPieces(text: string, length: number): ReadonlyMap<string, number> {
	const starts = new Map<string, number>();
	for (let start = 0, end: number; start < length; start = end) {
		end = endOfPiece(text, start, length);
		if (end - start >= minCopiedLength) {
			const piece = text.slice(start, end);
			if (!starts.has(piece)) {
				starts.set(piece, start);
			}
		}
	}

	return starts;
}

function endOfPiece(text: string, start: number, length: number): number {
	const at = text.indexOf(pieceEnd, start);
	return at === -1 || at >= length ? length : at + 1;
}

function commonSuffixLength(one: string, other: string): number {
	const max = Math.min(one.length, other.length);
	let length = 0;
	// eslint-disable-next-line unicorn/prefer-code-point -- code units are enough and faster
	while (length < max && one.charCodeAt(one.length - 1 - length) === other.charCodeAt(other.length - 1 - length)) {
		length++;
	}

	return length;
}
