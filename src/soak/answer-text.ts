import {hashString} from '../common/base/hash-string.js';
import {SeededRandom} from '../common/base/seeded-random.js';

/** Answer of the soak's backend servers to a request; it follows from the id of the request alone, so that any server can go on with it. */
export interface AnswerPlan {
	/** Number of events of a stream. */
	readonly events: number;
	/** Length in characters of the padding of each event, or of a plain answer. */
	readonly padding: number;
	/** Time in milliseconds from the first event to the end of a stream. */
	readonly streamMs: number;
	/** Time in milliseconds until a plain answer. */
	readonly plainMs: number;
}

const maxEvents = 40;
/** Range of the durations of streams in milliseconds; the longest ones outlast the time that a stopping host gets. */
const minStreamMs = 50;
const maxStreamMs = 6000;
/** Range of the times until plain answers in milliseconds. */
const minPlainMs = 2;
const maxPlainMs = 800;
const maxEventPadding = 400;
const maxPlainPadding = 16_384;

/** Draws the answer to a request from its id. */
export function answerPlan(id: string): AnswerPlan {
	const random = new SeededRandom(hashString('answer', hashString(id, 1)));
	// Short ones are more frequent, evenly on a logarithmic scale.
	const between = (low: number, high: number) => Math.round(low * ((high / low) ** random.next()));
	return {
		events: between(1, maxEvents), padding: between(1, maxEventPadding), streamMs: between(minStreamMs, maxStreamMs), plainMs: between(minPlainMs, maxPlainMs),
	};
}

/** Text of the events of a stream, starting with event number `first`. */
export function eventTexts(id: string, first = 1, model = ''): string[] {
	const {events, padding} = answerPlan(id);
	return Array.from({length: Math.max(0, events - first + 1)}, (_, index) => `id: ${first + index}\ndata: ${id} ${model} ${'x'.repeat(padding)}\n\n`);
}

/** Complete body of the answer to a request; with a model on routes that have several, and a stream starting with event number `first`. */
export function expectedBody(id: string, isStream: boolean, model = '', first = 1): string {
	return isStream ? eventTexts(id, first, model).join('') : `answer to ${id} ${model} ${'y'.repeat(Math.min(maxPlainPadding, answerPlan(id).padding ** 2))}`;
}
