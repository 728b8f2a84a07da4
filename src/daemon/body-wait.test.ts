import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {afterEach, expect, it} from 'vitest';
import {createForwarderFixture, testBackend, testTable} from '../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../testing/scripted-answers.js';
import {type CallerCodec} from './caller-codec.js';
import {CallerServer} from './caller-server.js';

type Fixture = ReturnType<typeof createForwarderFixture>;

const codec: CallerCodec = {
	decode: ({method, target, headers, body}) => ({
		id: 'q', hostname: 'h.example', path: target, key: 'key', deadlineMs: 2000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
			method, target, headers, body,
		},
	}),
	refusalHeaders: () => [],
};
const shop = {name: 'shop', keys: ['key'], priority: 1};
let server: CallerServer | undefined;

afterEach(() => {
	server?.dispose();
});

// Guards against a request that is admitted by what was in force when its head arrived.
it.each<{name: string; change: (fixture: Fixture) => void; status: number; servers: readonly string[]}>([
	{
		name: 'one of two servers is draining', change({pool}) {
			pool.update([testBackend('a', {isDraining: true}), testBackend('bb')], 0);
		}, status: 200, servers: ['bb'],
	},
	{
		name: 'the route is removed', change({replaceTable}) {
			replaceTable(testTable([], [shop]));
		}, status: 404, servers: [],
	},
	{
		name: 'the key is revoked', change({replaceTable, route}) {
			replaceTable(testTable([route], [{...shop, keys: ['other']}]));
		}, status: 401, servers: [],
	},
])('answers with $status when $name while the body is being read', async ({change, status, servers}) => {
	const fixture = createForwarderFixture('once', {}, [testBackend('a'), testBackend('bb')]);
	const {forwarder, port} = fixture;
	port.onAttempt = scriptedAnswers.good;
	server = new CallerServer(forwarder, codec);
	server.setLimits({
		maxHeaderBytes: 1000, maxBodyBytes: 10, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	});
	const listenPort = await server.listen({host: '127.0.0.1', port: 0});
	const req = request({
		host: '127.0.0.1', port: listenPort, method: 'POST', path: '/a/x', agent: false, headers: {'content-length': 2},
	});
	req.write('b');
	await expect.poll(() => server!.active).toBe(1);
	change(fixture);
	req.end('b');
	const [res] = await once(req, 'response') as [IncomingMessage];
	res.resume();
	expect(res.statusCode).toBe(status);
	expect(port.attempts.map(({terms}) => terms.serverId)).toEqual(servers);
});
