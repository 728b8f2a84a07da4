/** Number of confidence bins; with 20, coarse thresholds raise the cost by less than 1 %, and each bin needs few ratings. */
export const binCount = 20;

/** Bin of a confidence in [0, 1]. Bins narrow towards 1, because most mean token probabilities are close to 1. */
export function binOf(confidence: number): number {
	const position = 1 - Math.sqrt(1 - Math.min(1, Math.max(0, confidence)));
	return Math.min(binCount - 1, Math.floor(position * binCount));
}

/** Lowest confidence in a bin; 1 for a bin past the last. */
export function binFloor(bin: number): number {
	return 1 - ((1 - (Math.min(bin, binCount) / binCount)) ** 2);
}
