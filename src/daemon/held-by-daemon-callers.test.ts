import {afterEach, expect, it} from 'vitest';
import {callBeside, type EndlessRequest, endlessRequests} from '../testing/endless-callers.js';
import {HttpServer} from './http-server.js';
import {readBody} from './read-body.js';

const names = Object.keys(endlessRequests) as EndlessRequest[];
const maxPauseMs = 50;
const maxBodyBytes = 4 * 1024 * 1024;

let server: HttpServer | undefined;

afterEach(() => {
	server?.dispose();
});

// Guards against callers of the OpenAI, operator or peer interface of a daemon that take its time from the other callers.
it.each(names)('answers sound requests in time beside %s without an end', async name => {
	server = new HttpServer();
	server.serve(async (req, res) => {
		await readBody(req, maxBodyBytes);
		res.end('ok');
	});
	const address = await server.listen({host: '127.0.0.1', port: 0});
	const {times, longestMs} = await callBeside([name], {
		port: Number(address.split(':')[1]), path: '/a/x', durationMs: 1500, deadlineMs: 1000,
	});
	expect(times.filter(time => time === undefined)).toHaveLength(0);
	expect(longestMs).toBeLessThan(maxPauseMs);
});
