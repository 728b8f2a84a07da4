import {type RandomSource} from '../common/base/random-source.js';

/** Operation of a caller, which may take several tries. */
export interface Operation {
	readonly id: string;
	/** `chat`: request to the model service; `booking`: request to the plain service. */
	readonly kind: 'chat' | 'booking';
	readonly idempotent: boolean;
	readonly key: string | undefined;
	readonly session: string | undefined;
}

/** Number of sessions in a run. */
const sessions = 5;

/** Draws a random operation. */
export function drawOperation(index: number, random: RandomSource): Operation {
	const id = `op${index}`;
	const draw = random.next();
	if (draw < 0.3) {
		return {
			id, kind: 'chat', idempotent: true, key: undefined, session: undefined,
		};
	}

	if (draw < 0.55) {
		return {
			id, kind: 'chat', idempotent: true, key: undefined, session: `s${random.integer(sessions)}`,
		};
	}

	if (draw < 0.7) {
		return {
			id, kind: 'chat', idempotent: true, key: `key-${id}`, session: undefined,
		};
	}

	return {
		id, kind: draw < 0.85 ? 'chat' : 'booking', idempotent: false, key: `key-${id}`, session: undefined,
	};
}
