import {DecayedLine} from './decayed-line.js';
import {DecayedSum} from './decayed-sum.js';

/**
Half-life in milliseconds of the observed times. With 1.5 s the larger models had 0.81 to 0.95 of their share 3 to 4 s after a
simulated burst; shorter ones rest on few answers where a host sends four requests a second.
*/
const halfLifeMs = 1000;
/** Half-life in milliseconds of the usual times, long compared with a burst. */
const usualHalfLifeMs = 60_000;
/** Number of answers with their usual time that are added to the observed ones, so that few answers move the index little. */
const usualAnswers = 1;

/** Estimates the load of the engines: the ratio of the present times of models to their usual ones. */
export class LoadIndex {
	/** Usual times by model. */
	private readonly _usual = new Map<string, DecayedLine>();
	private readonly _observedMs = new DecayedSum(halfLifeMs);
	private readonly _usualMs = new DecayedSum(halfLifeMs);
	private readonly _answers = new DecayedSum(halfLifeMs);

	/** Records a time in milliseconds of a model, which depends on a number of tokens. */
	add(model: string, tokens: number, elapsedMs: number, now: number): void {
		let usual = this._usual.get(model);
		if (!usual) {
			usual = new DecayedLine(usualHalfLifeMs);
			this._usual.set(model, usual);
		}

		// Times under load count less, so that a burst leaves the usual times nearly as they are.
		usual.add(tokens, elapsedMs, now, 1 / (Math.max(1, this.at(now)) ** 2));
		this._observedMs.add(elapsedMs, now);
		this._usualMs.add(usual.at(tokens), now);
		this._answers.add(1, now);
	}

	/** Ratio of the present times to the usual ones; 1 without answers. */
	at(now: number): number {
		const usualMs = this._usualMs.at(now);
		const answers = this._answers.at(now);
		return usualMs > 0 ? ((this._observedMs.at(now) / usualMs * answers) + usualAnswers) / (answers + usualAnswers) : 1;
	}
}
