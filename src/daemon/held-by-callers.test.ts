import {afterEach, expect, it} from 'vitest';
import {createForwarderFixture} from '../testing/forwarder-fixture.js';
import {callBeside, type EndlessRequest, endlessRequests} from '../testing/endless-callers.js';
import {scriptedAnswers} from '../testing/scripted-answers.js';
import {CallerServer} from './caller-server.js';

const names = Object.keys(endlessRequests) as EndlessRequest[];
const maxPauseMs = 50;

let server: CallerServer | undefined;

afterEach(() => {
	server?.dispose();
});

// Guards against callers that send bytes without end and so take the time of a host from its other callers.
it.each([...names.map(name => ({name, requests: [name]})), {name: 'all of these', requests: names}])('answers sound requests in time beside $name without an end', async ({requests}) => {
	const {forwarder, port: backends} = createForwarderFixture('idempotent');
	backends.onAttempt = scriptedAnswers.good;
	server = new CallerServer(forwarder, {
		decode: ({method, target, headers, body}) => ({
			id: 'q', hostname: 'h.example', path: target, key: 'key', deadlineMs: 2000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method, target, headers, body,
			},
		}),
		refusalHeaders: () => [],
	});
	server.setLimits({
		maxHeaderBytes: 16_384, maxBodyBytes: 4 * 1024 * 1024, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	});
	const port = await server.listen({host: '127.0.0.1', port: 0});
	const {times, longestMs} = await callBeside(requests, {
		port, path: '/a/x', durationMs: 2000, deadlineMs: 1000,
	});
	expect(times.filter(time => time === undefined)).toHaveLength(0);
	expect(longestMs).toBeLessThan(maxPauseMs);
});
