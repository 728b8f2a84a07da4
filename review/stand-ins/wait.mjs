import {setTimeout as sleep} from 'node:timers/promises';

/** Interval in milliseconds at which a condition is checked. */
const pollMs = 20;

/** Waits until a condition holds. @throws Error after the timeout. */
export async function waitFor(what, condition, timeoutMs) {
	for (let waited = 0; waited < timeoutMs; waited += pollMs) {
		// eslint-disable-next-line no-await-in-loop -- polls
		if (await condition()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(pollMs);
	}

	throw new Error(`not reached within ${timeoutMs} ms: ${what}`);
}
