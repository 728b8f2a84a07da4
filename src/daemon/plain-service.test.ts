import {createHash} from 'node:crypto';
import {
	afterAll, beforeAll, beforeEach, expect, it,
} from 'vitest';
import {request} from 'undici';
import {type EmulatedPlainService, unframedText} from '../emulator/emulated-plain-service.js';
import {EmbeddedCaller, refusalOf} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';
import {exchange} from '../testing/raw-answer.js';

let system: EmbeddedSystem;
let caller: EmbeddedCaller;

beforeAll(async () => {
	system = await EmbeddedSystem.start({engines: [], plainServices: ['booking', 'paired'], plainServers: 2});
	caller = new EmbeddedCaller(system);
	await caller.submit({service: 'booking', kind: 'plain', limits: {maxBodyBytes: 64 * 1024 * 1024}});
	await caller.submit({service: 'paired', kind: 'plain', limits: {maxBodyBytes: 1024 * 1024}});
});
afterAll(async () => system.stop());
beforeEach(() => {
	for (const service of system.plainServices.values()) {
		service.calls.clear();
		service.resetsAfterCall = false;
		service.unframedEnd = undefined;
	}
});

function serversOf(name: string): EmulatedPlainService[] {
	return [...system.plainServices].filter(([id]) => id.startsWith(name)).map(([, service]) => service);
}

/** Number of calls that the backend servers of a service have executed. */
function callsOf(name: string): number {
	return serversOf(name).reduce((sum, {calls}) => sum + [...calls.values()].reduce((a, b) => a + b, 0), 0);
}

function requestIdOf({headers}: {headers: Readonly<Record<string, unknown>>}): string {
	return String(headers['catkinbeam-request-id']);
}

/** A body of many chunks, each generated only when it is requested. */
async function * generateChunks(count: number, bytes: number): AsyncGenerator<Uint8Array> {
	for (let index = 0; index < count; index++) {
		yield new Uint8Array(bytes).fill(index % 251);
	}
}

// Guards against methods, paths, query strings or bodies that are changed by forwarding.
it.each([
	{method: 'GET', path: '/services/booking/slots?day=3&day=4&q=a%20b', body: undefined},
	{method: 'POST', path: '/services/booking/notes', body: '{"machine":7}'},
	{method: 'PUT', path: '/services/booking/notes/7?x', body: 'añb'},
	{method: 'PATCH', path: '/services/booking/notes/7', body: ''},
	{method: 'DELETE', path: '/services/booking/notes/7', body: undefined},
	{method: 'OPTIONS', path: '/services/booking/', body: undefined},
])('forwards $method $path once, with one bill', async ({method, path, body}) => {
	const reply = await caller.send(method, path, {body, headers: {'content-type': 'text/plain'}});
	expect([reply.status, reply.text, reply.headers['content-type']]).toEqual([200, body ?? '', 'text/plain']);
	expect(reply.headers['echo-path']).toBe(path.slice('/services/booking'.length));
	expect(reply.headers['catkinbeam-entry']).toBe('entry-0');
	expect(callsOf('booking')).toBe(1);
	const bills = await caller.billsOf(requestIdOf(reply));
	expect(bills.map(({outcome, cost}) => [outcome, cost])).toEqual([['answered', 0]]);
});

// Guards against large bodies that are truncated, reordered or buffered as a whole.
it.each(['known', 'unknown'])('streams several MB both ways, length %s', async length => {
	const [count, bytes] = [192, 32 * 1024];
	const res = await request(`${system.callerUrl()}/services/booking/upload`, {
		method: 'PUT',
		headers: {authorization: `Bearer ${caller.key}`, ...(length === 'known' && {'content-length': String(count * bytes)})},
		body: generateChunks(count, bytes) as unknown as Uint8Array,
	});
	const expected = createHash('sha256');
	for await (const chunk of generateChunks(count, bytes)) {
		expected.update(chunk);
	}

	const received = createHash('sha256');
	let size = 0;
	for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
		received.update(chunk);
		size += chunk.length;
	}

	expect([res.statusCode, size]).toEqual([200, count * bytes]);
	expect(received.digest('hex')).toBe(expected.digest('hex'));
	expect(callsOf('booking')).toBe(1);
});

// Guards against unbounded buffering of an upload whose answer is not read.
it('stops reading a body while the answer is not read', async () => {
	// More than all connections on the path can buffer.
	const [count, bytes] = [960, 64 * 1024];
	let sentBytes = 0;
	async function * countedChunks(): AsyncGenerator<Uint8Array> {
		for await (const chunk of generateChunks(count, bytes)) {
			sentBytes += chunk.length;
			yield chunk;
		}
	}

	const controller = new AbortController();
	const res = await request(`${system.callerUrl()}/services/booking/upload`, {
		method: 'PUT', signal: controller.signal, headers: {authorization: `Bearer ${caller.key}`}, body: countedChunks() as unknown as Uint8Array,
	});
	let before = -1;
	while (sentBytes !== before) {
		before = sentBytes;
		// eslint-disable-next-line no-await-in-loop -- waits until no more bytes are sent
		await new Promise(resolve => {
			setTimeout(resolve, 250);
		});
	}

	expect(sentBytes).toBeLessThan(count * bytes);
	let size = 0;
	for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
	}

	expect(size).toBe(count * bytes);
});

// Guards against an answer that is reset on the way and forwarded as complete.
it.each((['end', 'reset'] as const).flatMap(end => ['1.1', '1.0'].map(version => ({end, version}))))('forwards an answer without a length to a caller of HTTP/$version: $end', async ({end, version}) => {
	for (const service of serversOf('booking')) {
		service.unframedEnd = end;
	}

	const {status, body, isWhole} = await exchange(Number(new URL(system.callerUrl()).port), `GET /services/booking/list HTTP/${version}\r\nhost: h\r\nauthorization: Bearer ${caller.key}\r\n\r\n`, 5000);
	expect(isWhole).toBe(end === 'end');
	// The head may still be buffered when the answer breaks off.
	expect(status).toBeOneOf(isWhole ? [200] : [200, undefined]);
	expect((unframedText + unframedText).startsWith(body)).toBe(true);
	expect(body.length === 2 * unframedText.length).toBe(end === 'end');
});

// Guards against a body without a content length that exceeds the limit of its service.
it('refuses a streamed body over the limit', async () => {
	for (const service of serversOf('paired')) {
		// The emulated service then reads the whole body before it resets the connection.
		service.resetsAfterCall = true;
	}

	const reply = await caller.send('POST', '/services/paired/upload', {body: generateChunks(64, 32 * 1024)});
	expect([reply.status, refusalOf(reply).code]).toEqual([413, 'body-too-large']);
});

// Guards against a non-idempotent call that runs again, either by a retry or because the caller sends it again.
it('runs a non-idempotent call at most once when the connection is reset after the call', async () => {
	for (const service of serversOf('booking')) {
		service.resetsAfterCall = true;
	}

	const headers = {'idempotency-key': 'charge-1'};
	const reply = await caller.send('POST', '/services/booking/charge', {body: '{"amount":5}', headers});
	expect([reply.status, refusalOf(reply)]).toMatchObject([502, {code: 'backend-failed', ran: 'unknown'}]);
	expect(reply.headers['x-should-retry']).toBe('false');
	expect(callsOf('booking')).toBe(1);
	const bills = await caller.billsOf(requestIdOf(reply));
	expect(bills.map(({outcome}) => outcome)).toEqual(['unknown']);
	for (const service of serversOf('booking')) {
		service.resetsAfterCall = false;
	}

	const resent = await caller.send('POST', '/services/booking/charge', {body: '{"amount":5}', headers});
	expect([resent.status, refusalOf(resent)]).toMatchObject([409, {code: 'request-unknown', ran: 'unknown'}]);
	expect(callsOf('booking')).toBe(1);
});

// Guards against an idempotency key that is accepted for another call, and an answered call that runs again.
it('runs a call with an idempotency key once', async () => {
	const headers = {'idempotency-key': 'note-1'};
	const first = await caller.send('POST', '/services/booking/notes', {body: 'a', headers});
	const resent = await caller.send('POST', '/services/booking/notes', {body: 'a', headers});
	const other = await caller.send('POST', '/services/booking/notes', {body: 'b', headers});
	expect([first.status, resent.status, other.status]).toEqual([200, 409, 422]);
	expect(refusalOf(resent)).toMatchObject({code: 'request-answered', ran: 'yes'});
	expect(refusalOf(other)).toMatchObject({code: 'key-reused', ran: 'no'});
	expect(callsOf('booking')).toBe(1);
});

// Guards against calls that fail because one backend server is down, and against a wrong `ran` when all are down. Runs last,
// because it stops the backend servers.
it('retries at another backend server when the connection is refused, and reports that nothing ran when all refuse', async () => {
	const [first, second] = serversOf('paired');
	first!.dispose();
	for (let index = 0; index < 6; index++) {
		const body = index % 2 === 0 ? 'kept' : generateChunks(4, 32 * 1024);
		// eslint-disable-next-line no-await-in-loop -- one call after another
		const reply = await caller.send('POST', '/services/paired/notes', {body});
		expect(reply.status).toBe(200);
	}

	expect(second!.calls.get('POST /notes')).toBe(6);
	second!.dispose();
	const reply = await caller.send('POST', '/services/paired/notes', {body: 'x', headers: {'idempotency-key': 'lost'}});
	expect([reply.status, refusalOf(reply).ran]).toEqual([503, 'no']);
	expect(callsOf('paired')).toBe(6);
});
