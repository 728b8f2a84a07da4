import {type AttemptEvents} from './backend-port.js';

/** Events that are passed on only while the attempt is in use; after that, data is read and dropped. */
export function guardedEvents(isOn: () => boolean, events: AttemptEvents): AttemptEvents {
	return {
		onHead(head) {
			if (isOn()) {
				events.onHead(head);
			}
		},
		onData: chunk => !isOn() || events.onData(chunk),
		onEnd() {
			if (isOn()) {
				events.onEnd();
			}
		},
		onFailure(failure) {
			if (isOn()) {
				events.onFailure(failure);
			}
		},
	};
}
