import {type ServerResponse} from 'node:http';

/** Signal that is aborted when the caller disconnects, even before the request has been read or admitted. */
export function callerSignal(res: ServerResponse): AbortSignal {
	const controller = new AbortController();
	if (res.destroyed) {
		controller.abort();
	} else {
		res.once('close', () => {
			if (!res.writableFinished) {
				controller.abort();
			}
		});
	}

	return controller.signal;
}
