import {type AttemptEvents} from './backend-port.js';

/** Passes events on while the attempt is active; after that, ignores events and discards data. */
export function guardedEvents(isActive: () => boolean, events: AttemptEvents): AttemptEvents {
	return {
		mayStart: () => isActive() && events.mayStart(),
		onHead(head) {
			if (isActive()) {
				events.onHead(head);
			}
		},
		onData: chunk => !isActive() || events.onData(chunk),
		onEnd() {
			if (isActive()) {
				events.onEnd();
			}
		},
		onFailure(failure) {
			if (isActive()) {
				events.onFailure(failure);
			}
		},
	};
}
