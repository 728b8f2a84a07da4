import {type Clock} from '../common/base/clock.js';
import {Engine, type EngineJob} from './engine.js';
import {type TraceEngine} from './trace.js';

/** Engines of a trace. Replace `pick` to try another load-balancing rule. */
export class EnginePool {
	private readonly _engines: Engine[];

	constructor(engines: readonly TraceEngine[], clock: Clock) {
		this._engines = engines.map(settings => new Engine(settings, clock));
	}

	/** Live engine of a version with the shortest expected time to first token. */
	pick(ref: string, inputTokens: number, prefixes: readonly number[]): Engine | undefined {
		let best: Engine | undefined;
		let bestMs = Infinity;
		for (const engine of this._engines) {
			if (engine.alive && engine.settings.ref.includes(ref)) {
				const expected = engine.expectedFirstTokenMs(inputTokens, prefixes);
				if (expected < bestMs) {
					[best, bestMs] = [engine, expected];
				}
			}
		}

		return best;
	}

	expectedFirstTokenMs(ref: string, inputTokens: number, prefixes: readonly number[]): number | undefined {
		return this.pick(ref, inputTokens, prefixes)?.expectedFirstTokenMs(inputTokens, prefixes);
	}

	/** Runs a job and retries it on another engine of the version if its engine fails; without a live engine it ends without a result. */
	run(ref: string, job: EngineJob): void {
		const engine = this.pick(ref, job.inputTokens, job.prefixes);
		if (!engine) {
			job.onDone();
			return;
		}

		engine.submit({
			...job,
			onDone: result => {
				if (result === undefined) {
					this.run(ref, job);
				} else {
					job.onDone(result);
				}
			},
		});
	}

	setAlive(id: string, alive: boolean): void {
		const engine = this._engines.find(({settings}) => settings.id === id);
		if (alive) {
			engine?.recover();
		} else {
			engine?.fail();
		}
	}
}
