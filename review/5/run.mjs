
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {
	authorization, bounds, limits, tenant,
} from '../stand-ins/fleet.mjs';
import {newAttemptId, requestText, send} from '../stand-ins/client.mjs';
import {answerStream} from '../stand-ins/stream.mjs';

const hostname = 'desk.example';
/** Streams that clients of one entry host read at the same time: as many as it has connections to the engines. */
const streamsPerEntry = 120;
const streamEvents = 32;
const eventMs = 100;
/** Bookings that follow on each entry host, and the time in milliseconds that an engine takes for one. */
const bookingsPerEntry = 15;
const bookingMs = 1500;
/** Time in milliseconds between the streams, the bookings and the leave of an engine. */
const stepMs = 300;
/** Time in milliseconds for which a leaving engine goes on after `DrainMs`. */
const lingerMs = 1800;

const route = {
	Hostname: hostname, Service: 'desk', Anonymous: false, Priority: 2,
};
const configuration = {
	Version: 1,
	Routes: [
		{
			...route, Name: 'r-chat', PathPrefix: '/chat/', RouteType: 'streaming', TimeoutMs: 25_000, TargetLatencyMs: 1000, TargetItlMs: 800, MaxAttempts: 3, Sticky: true, Resumable: true,
		},
		{
			...route, Name: 'r-book', PathPrefix: '/book/', RouteType: 'non_idempotent', TimeoutMs: 10_000, TargetLatencyMs: 4000, MaxAttempts: 1,
		},
	],
	Services: [{
		Name: 'desk', HealthPath: '/healthz', MaxConns: 100, Protocol: 'h1', Tls: false,
	}],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 2}, async ({fleet, record, hasTrouble, closeLater}) => {
	const arrivals = [];
	let acknowledgedAt = Infinity;
	const answer = async (engine, at, {req, id}, res) => {
		arrivals.push({id, at: performance.now(), isLeaving: at === 0});
		if (req.url.startsWith('/book/')) {
			await sleep(bookingMs);
			if (!res.destroyed) {
				res.writeHead(200, {...engine.headersOf(id), 'content-length': 2}).end('ok');
			}

			return;
		}

		await answerStream({req, id}, res, {headers: engine.headersOf(id), events: streamEvents, eventMs});
	};

	const engines = Array.from({length: 4}, (_, at) => closeLater(new Engine({
		fleet, name: `desk-${at + 1}`, service: 'desk', slots: 96, answer: (req, res) => answer(engines[at], at, req, res),
	})));
	const [old, ...others] = engines;
	const replacement = others.pop();
	const ask = async (frontend, target) => {
		const id = newAttemptId();
		const result = await send(frontend, requestText({
			method: 'POST', target, host: hostname, id, body: '{}', headers: {...authorization, 'X-Deadline-Ms': '9000'},
		}), 10_000);
		record.add(`client: ${id} ${target} answered ${result.status}, ending ${result.ending}`);
		return {id, ...result};
	};

	const askAll = (count, target) => fleet.frontends.flatMap(frontend => Array.from({length: count}, async () => ask(frontend, target)));
	await fleet.start(configuration);
	await Promise.all([old, ...others].map(async engine => engine.start()));
	await sleep(1500);
	const streams = askAll(streamsPerEntry, '/chat/1');
	await sleep(stepMs);
	const bookings = askAll(bookingsPerEntry, '/book/1');
	await sleep(stepMs);
	if (hasTrouble) {
		await replacement.start();
		await old.drain();
		acknowledgedAt = performance.now();
		record.add(`engine ${old.name}: its leave is acknowledged`);
		await sleep(bounds.DrainMs + lingerMs);
		await old.leave();
		record.add(`engine ${old.name}: ends`);
		old.close();
	}

	await Promise.all(streams);
	const results = await Promise.all(bookings);
	const late = arrivals.filter(({at, isLeaving}) => isLeaving && at > acknowledgedAt + bounds.DrainMs);
	const lost = late.filter(({id}) => results.some(result => result.id === id && result.status !== 200));
	for (const {id, at} of late) {
		record.add(`${id} reached the leaving engine ${Math.round(at - acknowledgedAt)} ms after the acknowledgement`);
	}

	record.add(`${late.length} requests reached the engine later than ${bounds.DrainMs} ms after the acknowledgement of its leave; ${lost.length} bookings of them were lost`);
	return late.length > 0 ? outcome.broken : outcome.held;
});
