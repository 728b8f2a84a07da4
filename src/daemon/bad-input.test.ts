/* eslint-disable @typescript-eslint/naming-convention -- names of environment variables */
import {
	afterAll, beforeAll, beforeEach, expect, it,
} from 'vitest';
import {request} from 'undici';
import {EmbeddedCaller, type CallerReply, refusalOf} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';

const operatorSecret = 'operator-secret-1';
const secrets = {
	CATKINBEAM_OPERATOR_SECRET: operatorSecret, CATKINBEAM_BACKEND_SECRET: 'backend-secret-12', CATKINBEAM_PEER_SECRET: 'peer-secret-12345',
};
const maxBodyBytes = 10_000;
const messages = [{role: 'user', content: 'Summarise the log.'}];
let system: EmbeddedSystem;
let caller: EmbeddedCaller;

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		engines: ['small', 'large'].map(id => ({
			id, ref: `${id}@1`, skill: 1, inputCost: 1, outputCost: 1,
		})),
		plainServices: ['booking'],
		secrets,
	});
	caller = new EmbeddedCaller(system);
	const limits = {maxBodyBytes};
	const customers = [{name: 'customer', keySha256: caller.keySha256, allow: ['small@1']}];
	await caller.submit({
		service: 'notes', versions: ['small@1', 'large@1'], limits, customers,
	}, operatorSecret);
	await caller.submit({service: 'booking', kind: 'plain', limits}, operatorSecret);
});
afterAll(async () => system.stop());
beforeEach(() => {
	for (const engine of system.engines.values()) {
		engine.executed.length = 0;
	}
});

type Case = {
	readonly name: string;
	readonly status: number;
	readonly code: string;
	readonly method?: string;
	readonly path?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** Raw body, or fields that are merged into a valid one. */
	readonly body?: string | Readonly<Record<string, unknown>>;
};

const long = 'x'.repeat(maxBodyBytes);

// Guards against invalid input that is forwarded or billed, or refused without a stable code or with a wrong `ran`.
it.each<Case>([
	{
		name: 'an unknown key', status: 401, code: 'unknown-key', headers: {authorization: 'Bearer other'},
	},
	{
		name: 'no key', status: 401, code: 'missing-key', headers: {authorization: ''},
	},
	{
		name: 'another authorization scheme', status: 401, code: 'missing-key', headers: {authorization: 'Basic YTpi'},
	},
	{
		name: 'an unknown model', status: 404, code: 'model-not-allowed', body: {model: 'other'},
	},
	{
		name: 'a model that is not allowed', status: 404, code: 'model-not-allowed', body: {model: 'large@1'},
	},
	{
		name: 'a plain service as the model', status: 404, code: 'model-not-allowed', body: {model: 'booking'},
	},
	{
		name: 'malformed JSON', status: 400, code: 'malformed-json', body: '{"model":',
	},
	{
		name: 'an empty body', status: 400, code: 'malformed-json', body: '',
	},
	{
		name: 'a body that is not an object', status: 400, code: 'invalid-field', body: '[]',
	},
	{
		name: 'an unknown field', status: 400, code: 'unknown-field', body: {surprise: 1},
	},
	{
		name: 'a field of the wrong type', status: 400, code: 'invalid-field', body: {temperature: 'hot'},
	},
	{
		name: 'no messages', status: 400, code: 'invalid-field', body: {messages: []},
	},
	{
		name: 'n of 2', status: 400, code: 'invalid-field', body: {n: 2},
	},
	{
		name: 'a body over the limit', status: 413, code: 'body-too-large', body: {user: long},
	},
	{
		name: 'a body over the limit in bytes only', status: 413, code: 'body-too-large', body: {user: 'ñ'.repeat((maxBodyBytes / 2) + 1)},
	},
	{
		name: 'an invalid urgency', status: 400, code: 'invalid-header', headers: {'catkinbeam-urgency': 'now'},
	},
	{
		name: 'an invalid deadline', status: 400, code: 'invalid-header', headers: {'catkinbeam-deadline-ms': '-1'},
	},
	{
		name: 'an invalid idempotency flag', status: 400, code: 'invalid-header', headers: {'catkinbeam-non-idempotent': 'yes'},
	},
	{
		name: 'a session that is too long', status: 400, code: 'invalid-header', headers: {'catkinbeam-session': 's'.repeat(201)},
	},
	{
		name: 'an empty idempotency key', status: 400, code: 'invalid-header', headers: {'idempotency-key': ''},
	},
	{
		name: 'a wrong method', status: 405, code: 'method-not-allowed', method: 'PUT',
	},
	{
		name: 'an unknown path', status: 404, code: 'not-found', path: '/v1/completions',
	},
	{
		name: 'an invalid path', status: 400, code: 'invalid-url', path: '//',
	},
	{
		name: 'an unknown plain service', status: 404, code: 'service-not-allowed', path: '/services/other/x',
	},
	{
		name: 'a model service as a plain service', status: 404, code: 'service-not-allowed', path: '/services/notes/x',
	},
	{
		name: 'a plain call with an unknown key', status: 401, code: 'unknown-key', path: '/services/booking/x', headers: {authorization: 'Bearer other'},
	},
	{
		name: 'a plain call over the limit', status: 413, code: 'body-too-large', path: '/services/booking/x', body: long + long,
	},
])('refuses $name with $status $code', async ({status, code, method = 'POST', path = '/v1/chat/completions', headers, body = {}}) => {
	const text = typeof body === 'string' ? body : JSON.stringify({model: 'notes', messages, ...body});
	const reply = await caller.send(method, path, {headers, body: text});
	expect([reply.status, refusalOf(reply)]).toMatchObject([status, {code, ran: 'no'}]);
	expect(reply.headers['x-should-retry']).toBeUndefined();
	await expectNothingRan();
});

// Guards against interfaces that accept requests without a secret, or with the secret of another interface.
it.each([
	{path: '/operator/v1/documents?changeId=x', code: 'wrong-secret'},
	{path: '/operator/v1/bills', code: 'wrong-secret'},
	{path: '/operator/v1/drain', code: 'wrong-secret'},
	{path: '/backend/v1/announce', code: 'wrong-secret'},
	{path: '/backend/v1/leave', code: 'wrong-secret'},
	{path: '/peer', code: 'wrong-secret'},
])('refuses $path without its own secret', async ({path, code}) => {
	const otherSecrets = Object.values(secrets).filter(secret => !secret.startsWith(path.split('/')[1]!));
	expect(otherSecrets).toHaveLength(2);
	for (const secret of [undefined, 'wrong', ...otherSecrets]) {
		// eslint-disable-next-line no-await-in-loop -- one request after another
		const reply = await sendControl(path, secret);
		expect([reply.status, refusalOf(reply)]).toMatchObject([401, {code, ran: 'no'}]);
	}

	expect(system.daemons[0]!.status).toMatchObject({draining: false, services: 2, backendServers: 3});
	await expectNothingRan();
});

// Guards against a check that refuses every request.
it('accepts the right secret', async () => {
	expect(await sendControl('/operator/v1/bills', operatorSecret, 'GET')).toMatchObject({status: 200, text: '[]'});
});

async function sendControl(path: string, secret: string | undefined, method: 'GET' | 'POST' = 'POST'): Promise<CallerReply> {
	const headers = secret === undefined ? {} : {authorization: `Bearer ${secret}`};
	const res = await request(system.controlUrl() + path, {method, headers, ...(method === 'POST' && {body: '{}'})});
	return {status: res.statusCode, headers: res.headers, text: await res.body.text()};
}

async function expectNothingRan(): Promise<void> {
	expect([...system.engines.values()].flatMap(({executed}) => executed)).toEqual([]);
	expect(system.plainServices.get('booking-1')!.calls.size).toBe(0);
	for (const list of ['bills', 'open']) {
		// eslint-disable-next-line no-await-in-loop -- one list after another
		expect(await sendControl(`/operator/v1/${list}`, operatorSecret, 'GET')).toMatchObject({status: 200, text: '[]'});
	}
}
