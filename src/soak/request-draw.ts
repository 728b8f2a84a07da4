import {type RandomSource} from '../common/base/random-source.js';
import {answerPlan} from './answer-text.js';

/** Route that a caller uses. */
export interface RouteKind {
	readonly name: string;
	readonly method: string;
	/** First part of the path. */
	readonly prefix: string;
	readonly isRepeatable: boolean;
	readonly isStream: boolean;
	readonly isResumable: boolean;
	readonly service: string;
	/** Models from which the router chooses. */
	readonly models: readonly string[];
	/** Time limit of the route in milliseconds. */
	readonly timeoutMs: number;
}

/** Framings of a request's body. */
export const bodyFraming = {none: 'no-body', length: 'body-with-length', chunks: 'body-in-chunks'} as const;

/** How a caller behaves. */
export const behaviour = {
	usual: 'usual-caller',
	/** Reads with pauses. */
	slow: 'slow-caller',
	/** Closes the connection before the answer is complete. */
	leaving: 'leaving-caller',
	/** Speaks HTTP/1.0. */
	old: 'http-1.0-caller',
	/** Closes the connection after the answer. */
	closing: 'closing-caller',
} as const;

/** How a caller sends a request. */
export interface RequestDraw {
	readonly kind: RouteKind;
	readonly body: string;
	readonly bodyFraming: typeof bodyFraming[keyof typeof bodyFraming];
	/** Length in bytes of the pieces in which it sends. */
	readonly pieceBytes: number;
	readonly pieceMs: number;
	readonly behaviour: typeof behaviour[keyof typeof behaviour];
	readonly leaveMs: number;
	/** Number of the event after which a stream is asked for. */
	readonly after: number;
	/** Time that the caller gives the answer. */
	readonly deadlineMs: number;
}

const behaviourShares = [[behaviour.slow, 0.06], [behaviour.leaving, 0.05], [behaviour.old, 0.08], [behaviour.closing, 0.08]] as const;
const maxBodyBytes = 60_000;
/** Maximum number of pieces of a request. */
const maxPieces = 40;
const maxPieceMs = 5;
const maxLeaveMs = 1500;
/** Share of the resumable streams that are asked for from a later event. */
const resumedShare = 0.1;
/** Range in milliseconds of the time that callers give an answer besides the duration of a stream; the usual time is the shortest. */
const minDeadlineMs = 3000;
const maxDeadlineMs = 8000;

/** Draws how a caller sends request `id`; `patientShare` of them wait longer than usual, and without `hasOldCallers` none speaks HTTP/1.0. */
export function drawRequest(random: RandomSource, id: string, kinds: readonly RouteKind[], patientShare: number, hasOldCallers = true): RequestDraw {
	const kind = kinds[random.integer(kinds.length)]!;
	const {events, streamMs} = answerPlan(id);
	let rest = random.next();
	const drawn = behaviourShares.find(([, share]) => {
		rest -= share;
		return rest < 0;
	})?.[0] ?? behaviour.usual;
	const chosen = drawn === behaviour.old && !hasOldCallers ? behaviour.usual : drawn;
	const bytes = kind.method === 'GET' ? 0 : Math.floor(maxBodyBytes ** random.next());
	return {
		kind,
		body: `${id} `.repeat(Math.ceil(bytes / id.length)).slice(0, bytes),
		// HTTP/1.0 has no chunks.
		bodyFraming: kind.method === 'GET' ? bodyFraming.none : (random.next() < 0.5 && chosen !== behaviour.old ? bodyFraming.chunks : bodyFraming.length),
		pieceBytes: Math.max(Math.ceil(bytes / maxPieces), 1 + random.integer(2000)),
		pieceMs: random.next() < 0.8 ? 0 : random.integer(maxPieceMs),
		behaviour: chosen,
		leaveMs: 1 + random.integer(maxLeaveMs),
		after: kind.isResumable && random.next() < resumedShare ? random.integer(events) : 0,
		deadlineMs: (random.next() < patientShare ? minDeadlineMs + random.integer(maxDeadlineMs - minDeadlineMs) : minDeadlineMs) + (kind.isStream ? streamMs : 0),
	};
}
