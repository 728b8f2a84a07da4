import {hashString} from '../common/base/hash-string.js';
import {type VersionRef} from '../common/documents/version-ref.js';

const twoPow32 = 0x1_00_00_00_00;
/** Rating of an answer to a prompt that is too difficult for the version. */
const poorRating = 0.2;
/** Rating of an answer to a prompt that the version can handle. */
const goodRating = 0.95;
/** Largest deviation of the noise that is added to the reported confidence. */
const confidenceNoise = 0.1;

/** Difficulty of a prompt, uniform in [0, 1). */
export function difficultyOf(prompt: string): number {
	return hashString(prompt) / twoPow32;
}

/** True rating of an answer by a version with the given skill in [0, 1]. */
export function trueRating(prompt: string, skill: number): number {
	return difficultyOf(prompt) < skill ? goodRating : poorRating;
}

/** Mean token probability that a version of the given skill reports. It is higher for prompts well below that skill. */
export function reportedConfidence(prompt: string, ref: VersionRef, skill: number): number {
	const noise = ((hashString(prompt, hashString(ref)) / twoPow32) - 0.5) * 2 * confidenceNoise;
	return Math.min(0.999, Math.max(0.01, 0.5 + ((skill - difficultyOf(prompt)) / 2) + noise));
}
