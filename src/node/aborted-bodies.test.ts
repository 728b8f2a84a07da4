import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {heldMemory} from '../testing/held-memory.js';
import {answerHead} from '../testing/scripted-port.js';
import {UnacceptingListener} from '../testing/unaccepting-listener.js';
import {HttpBackendPort} from './http-backend-port.js';

const megabyte = 1024 * 1024;
const attempts = 50;
const settleMs = 50;

const opened: Array<() => unknown> = [];
afterEach(async () => {
	await Promise.all(opened.splice(0).map(close => close()));
});

// Guards against bodies of callers that have left, which are held until a connection to a server without power times out: giving a caller up frees nothing then.
it('frees the body of an attempt that was aborted before its connection opened', async () => {
	const listener = await UnacceptingListener.open();
	const port = new HttpBackendPort({encodeHeaders: () => [], decodeHead: status => answerHead({status})}, nullLogger);
	opened.push(() => {
		port.dispose();
	}, async () => listener.close());
	const before = heldMemory();
	for (let count = 0; count < attempts; count++) {
		port.send({
			method: 'POST', target: '/', headers: [], body: new Uint8Array(megabyte),
		}, {
			serverId: 's', address: listener.address, maxConnections: attempts, requestId: 'q', remainingMs: 5000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart: () => true, onHead: () => undefined, onData: () => true, onEnd: () => undefined, onFailure: () => undefined,
		}).abort();
	}

	await delay(settleMs);
	expect(heldMemory() - before).toBeLessThan(attempts / 10 * megabyte);
});
