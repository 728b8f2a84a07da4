import {type Urgency} from '../common/documents/urgency.js';

/** Class of requests of a service. */
export interface ScenarioClass {
	readonly name: string;
	readonly share: number;
	/** Mean difficulty, on the same scale as the skill of versions. */
	readonly difficulty: number;
	readonly inputTokens: number;
	readonly outputTokens: number;
}

/** Version with its skill; if the skill equals the difficulty of a request, the mean rating is 0.5. */
export interface ScenarioVersion {
	readonly ref: string;
	readonly inputCost: number;
	readonly outputCost: number;
	readonly skill: number;
	/** Output tokens relative to those of the class. */
	readonly verbosity: number;
	readonly engines: number;
	readonly tokenMs: number;
	readonly prefillRate: number;
	readonly replaces?: string;
}

/** Traffic, versions and roll-out of one simulated deployment. */
export interface Scenario {
	readonly name: string;
	readonly service: string;
	readonly qualityTarget: number;
	readonly hours: number;
	readonly requestsPerSecond: number;
	readonly urgencyShares: ReadonlyArray<readonly [Urgency, number]>;
	readonly classes: readonly ScenarioClass[];
	readonly versions: readonly ScenarioVersion[];
	/** Share of requests that belong to a session. */
	readonly sessionShare: number;
	readonly ratingsPerSecond: number;
	/** Median delay of a rating in milliseconds, and the share that never arrives. */
	readonly ratingDelayMs: number;
	readonly missingRatings: number;
	/** Roll-out of a new version that becomes bad for one class; times are shares of the duration. */
	readonly rollout: {readonly at: number; readonly from: string; readonly to: string; readonly badFrom: number; readonly badClass: string; readonly lostSkill: number};
	/** Slope of the log-odds of the mean rating over skill minus difficulty; with a steep slope ratings are either good or bad. */
	readonly ratingSlope: number;
	/** Noise of the log-odds of the confidence; at 0.6 the confidence separates good from bad answers well, but not fully. */
	readonly confidenceNoise: number;
}
