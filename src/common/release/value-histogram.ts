/** Counts of positive values by bins; each bin is `binsPerOctave` times a power of two wide. Trailing empty bins are left out. */
export type ValueHistogram = readonly number[];

const binsPerOctave = 2;
/** Bins above this one are counted in it. */
const lastBin = 47;

/** Returns the bin of a value; values below 1 are in the first bin. */
function binOf(value: number): number {
	return Math.min(lastBin, Math.max(0, Math.floor(Math.log2(Math.max(1, value)) * binsPerOctave)));
}

/** Returns the number of bins from a value to a multiple of it. */
export function binsFor(factor: number): number {
	return Math.round(Math.log2(factor) * binsPerOctave);
}

/** Adds a value. */
export function addValue(histogram: number[], value: number): void {
	const bin = binOf(value);
	while (histogram.length <= bin) {
		histogram.push(0);
	}

	histogram[bin]!++;
}

/** Returns the sum of two histograms, or their difference with a factor of -1. */
export function sumOf(left: ValueHistogram, right: ValueHistogram, factor = 1): ValueHistogram {
	return Array.from({length: Math.max(left.length, right.length)}, (_, bin) => (left[bin] ?? 0) + (factor * (right[bin] ?? 0)));
}

/** Returns the number of values. */
export function sizeOf(histogram: ValueHistogram): number {
	return histogram.reduce((sum, count) => sum + count, 0);
}

/** Returns the bin with a quantile. */
export function quantileBin(histogram: ValueHistogram, quantile: number): number {
	const wanted = sizeOf(histogram) * quantile;
	let sum = 0;
	const bin = histogram.findIndex(count => {
		sum += count;
		return sum >= wanted && sum > 0;
	});
	return Math.max(0, bin);
}

/** Returns the number of values in the bins above a bin. */
export function countAbove(histogram: ValueHistogram, bin: number): number {
	return sizeOf(histogram.slice(bin + 1));
}
