import {type RandomSource} from '../common/base/random-source.js';

/** Framings of an answer's body. */
export const framing = {
	length: 'length',
	chunks: 'chunks',
	/** Neither: the answer ends with its connection. */
	close: 'close',
} as const;

/** A value of `framing`. */
export type Framing = typeof framing[keyof typeof framing];

/** What a sound backend server may do instead of a plain answer. */
export const variant = {
	none: 'answer',
	/** Answers before it has read the body, and reads on later. */
	early: 'early-answer',
	/** Closes the connection after the answer, and says so. */
	closing: 'closing-answer',
	/** Refuses without running the request. */
	refusal: 'refusal',
	/** Refuses and says when to come back. */
	timedRefusal: 'timed-refusal',
} as const;

/** A value of `variant`. */
export type Variant = typeof variant[keyof typeof variant];

/** What a faulty backend server does. It never ends an answer without a length and chunks regularly before its end, because that is how a complete one ends. */
export const fault = {
	/** Resets the connection at any byte of the body. */
	reset: 'reset-in-body',
	/** Closes the connection regularly at any byte of the body, where the framing shows it. */
	close: 'close-in-body',
	/** Stops in the middle of the head; resets or closes. */
	head: 'cut-head',
	/** Writes its answer, then a second one. */
	second: 'second-answer',
	/** Writes its answer again, before the next one on the connection. */
	late: 'late-answer',
	/** Writes an answer to another request first. */
	foreign: 'foreign-answer',
	/** Writes an earlier refusal again, before its answer or after it. */
	refusalAgain: 'refusal-again',
	/** Writes bytes that are no answer, instead of one or after it. */
	garbage: 'garbage',
	/** Fails with a text that looks like events. */
	errorWithEvents: 'error-with-events',
	/** Fails on its own. */
	error: 'error',
	/** Sends bytes that are no event in place of one, where a larger model can still answer. */
	spoilt: 'spoilt-event',
	/** Never answers. */
	hang: 'no-answer',
} as const;

/** A value of `fault`. */
export type Fault = typeof fault[keyof typeof fault];

/** How a backend server answers a request. */
export interface AnswerDraw {
	readonly framing: Framing;
	/** Length in bytes of the pieces in which it writes. */
	readonly pieceBytes: number;
	readonly variant: Variant;
	readonly fault: Fault | undefined;
	/** Share of the body after which a fault acts. */
	readonly faultAt: number;
	/** Whether a fault takes the second one of its forms. */
	readonly isOtherForm: boolean;
	/** The model's opinion of its answer, from 0 to 100. */
	readonly confidence: number;
}

const variantShares: ReadonlyArray<readonly [Variant, number]> = [[variant.early, 0.06], [variant.closing, 0.05], [variant.refusal, 0.02], [variant.timedRefusal, 0.01]];
const maxPieceBytes = 16_384;

/** Draws how a backend server answers a request; with faults in `faultShare` of the requests. With `isFramed` each answer has a length or chunks, for builds that take the end of others for their completion. */
export function drawAnswer(random: RandomSource, faultShare: number, isFramed = false): AnswerDraw {
	const framings = isFramed ? [framing.length, framing.chunks] : Object.values(framing);
	const faults = Object.values(fault);
	const isFaulty = random.next() < faultShare;
	let rest = random.next();
	const chosen = variantShares.find(([, share]) => {
		rest -= share;
		return rest < 0;
	})?.[0] ?? variant.none;
	return {
		framing: framings[random.integer(framings.length)]!,
		pieceBytes: Math.round(maxPieceBytes ** random.next()),
		variant: isFaulty ? variant.none : chosen,
		fault: isFaulty ? faults[random.integer(faults.length)] : undefined,
		faultAt: random.next(),
		isOtherForm: random.next() < 0.5,
		confidence: random.integer(101),
	};
}
