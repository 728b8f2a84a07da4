import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {request} from 'undici';
import {type Evacuation} from '../common/control/evacuation-table.js';
import {EmbeddedCaller, refusalOf, until} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';
import {evacuationReply} from './operator-errors.js';

let system: EmbeddedSystem;
let caller: EmbeddedCaller;

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		engines: [{id: 'north', ref: 'both@1'}, {id: 'south', ref: 'both@1'}, {id: 'alone', ref: 'alone@1'}].map(engine => ({
			...engine, skill: 1, inputCost: 1, outputCost: 1,
		})),
		plainServices: ['booking'],
		plainServers: 2,
		daemons: 3,
		zones: {
			north: 'n', south: 's', alone: 'n', 'booking-1': 'n', 'booking-2': 's',
		},
	});
	caller = new EmbeddedCaller(system);
	await caller.submit({service: 'notes', versions: ['both@1', 'alone@1']});
	await caller.submit({service: 'booking', kind: 'plain'});
});
afterAll(async () => system.stop());

async function call(method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, daemon = 0): Promise<{status: number; body: unknown}> {
	const res = await request(`${system.controlUrl(daemon)}/operator/v1/${path}`, {method, body: body === undefined ? undefined : JSON.stringify(body)});
	return {status: res.statusCode, body: await res.body.json()};
}

/** Gives an order and waits until it is in force. */
async function order(method: 'POST' | 'DELETE', zone: string): Promise<void> {
	const {status, body} = method === 'POST' ? await call(method, 'evacuations', {zone}) : await call(method, `evacuations/${zone}`);
	expect(status).toBe(200);
	await until(async () => {
		const {body: reply} = await call('GET', `in-force?revision=${(body as {revision: number}).revision}`);
		return (reply as {inForce: boolean}).inForce;
	});
}

/** Number of attempts that each backend server has got since the last call. */
function runs(): Record<string, number> {
	const engines = [...system.engines].map(([id, {executedRefs}]) => {
		const {size} = executedRefs;
		executedRefs.clear();
		return [id, size] as const;
	});
	const plain = [...system.plainServices].map(([id, {calls}]) => {
		const sum = [...calls.values()].reduce((a, b) => a + b, 0);
		calls.clear();
		return [id, sum] as const;
	});
	return Object.fromEntries([...engines, ...plain].filter(([, count]) => count > 0));
}

async function sendAll(): Promise<Array<{status: number; code?: string; ran?: string; retryAfter?: unknown}>> {
	const replies = await Promise.all([
		...Array.from({length: 6}, async () => caller.chat({model: 'both@1'})),
		...Array.from({length: 6}, async () => caller.send('POST', '/services/booking/notes', {body: 'x'})),
		caller.chat({model: 'alone@1'}),
	]);
	return replies.map(reply => reply.status === 200
		? {status: 200}
		: {
			status: reply.status, code: refusalOf(reply).code, ran: refusalOf(reply).ran, retryAfter: reply.headers['retry-after'],
		});
}

const answered = (count: number) => Array.from({length: count}, () => ({status: 200}));
const refused = (count: number, code: string) => Array.from({length: count}, () => ({
	status: 503, code, ran: 'no', retryAfter: '1',
}));

// Guards against requests of the daemon that reach a server of an evacuated zone, and against servers that stay without requests after the withdrawal.
it('sends new work only to the backend servers of open zones', async () => {
	await order('POST', 'n');
	expect(await sendAll()).toEqual([...answered(12), ...refused(1, 'no-version-available')]);
	expect(runs()).toEqual({south: 6, 'booking-2': 6});
	await order('POST', 's');
	expect(await sendAll()).toEqual([...refused(6, 'no-version-available'), ...refused(6, 'no-backend-server'), ...refused(1, 'no-version-available')]);
	expect(runs()).toEqual({});
	await order('DELETE', 'n');
	expect(await sendAll()).toEqual(answered(13));
	expect(runs()).toEqual({north: 6, 'booking-1': 6, alone: 1});
	await order('DELETE', 's');
});

// Guards against an order for a zone that does not exist, one that cannot be withdrawn, and one that is refused when it is repeated.
it.each<{line: string; body?: unknown; status: number; code?: string}>([
	{line: 'POST evacuations', body: {zone: 'n'}, status: 200},
	{line: 'POST evacuations', body: {zone: 'n'}, status: 200},
	{line: 'DELETE evacuations/n', status: 200},
	{line: 'DELETE evacuations/n', status: 200},
	{line: 'POST evacuations', body: {zone: 'zone-2'}, status: 200},
	{line: 'DELETE evacuations/zone%2D2', status: 200},
	{
		line: 'POST evacuations', body: {zone: 'elsewhere'}, status: 404, code: 'zone-unknown',
	},
	{line: 'DELETE evacuations/elsewhere', status: 404, code: 'zone-unknown'},
	{line: 'DELETE evacuations', status: 404, code: 'zone-unknown'},
	{
		line: 'POST evacuations', body: {zone: 7}, status: 400, code: 'invalid-change',
	},
	{
		line: 'POST evacuations', body: {zone: 'n', also: 's'}, status: 400, code: 'invalid-change',
	},
])('answers $line $body with $status', async ({line, body, status, code}) => {
	const [method, path] = line.split(' ') as ['POST' | 'DELETE', string];
	const reply = await call(method, path, body, 1);
	const {error, revision = 0} = reply.body as {error?: {code: string}; revision?: number};
	expect([reply.status, error?.code]).toEqual([status, code]);
	// The next order comes from the same daemon and needs to know this one.
	await until(() => system.daemons[1]!.status.revision >= revision);
});

// Guards against an order whose sender has given up, which a daemon that was stopped for a while finds among its input.
it('does not carry out an order after the caller has left', async () => {
	const {hostname, port} = new URL(system.controlUrl());
	const before = system.daemons[0]!.status.revision;
	const socket = connect(Number(port), hostname);
	await once(socket, 'connect');
	socket.end('DELETE /operator/v1/evacuations/n HTTP/1.1\r\nhost: x\r\n\r\n');
	await delay(500);
	expect(system.daemons[0]!.status.revision).toBe(before);
});

// Guards against an order that undoes one which its host has not heard of.
it('answers an order that was overtaken with 503', async () => {
	const {follower} = system.daemons[0]!.host.control;
	await order('POST', 'n');
	const base = follower.view.evacuations.get('n')!.revision;
	await order('DELETE', 'n');
	const result = await follower.propose({
		type: 'evacuate-zone', zone: 'n', base, at: 0,
	});
	expect(evacuationReply(result)).toMatchObject({status: 503, body: {error: {code: 'evacuation-changed'}}});
	const {body} = await call('GET', 'evacuations');
	expect((body as Evacuation[]).find(({zone}) => zone === 'n')).toMatchObject({isActive: false});
});
