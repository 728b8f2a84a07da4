/** Source of random numbers. It is injected so that runs can be reproduced from a seed. */
export interface RandomSource {
	/** Uniform in [0, 1). */
	next(): number;
	/** Uniform integer in [0, limit). */
	integer(limit: number): number;
	/** Creates an independent source derived from the seed of this one and the label. */
	fork(label: string): RandomSource;
}
