import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {authorization, limits, tenant} from '../stand-ins/fleet.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {newAttemptId, requestText, send} from '../stand-ins/client.mjs';
import {answerStream} from '../stand-ins/stream.mjs';

const hostname = 'app.example';
const modelEngines = 6;
const events = 6;
const eventMs = 50;
/** Half of the model engines send bytes without end in place of one in so many answers, for so many milliseconds. */
const endlessInterval = 50;
const troubleMs = 5500;
/** Bytes that such an engine writes, one at a time, before it lets others work, and the time in milliseconds between. */
const bytesInTurn = 500;
const turnMs = 5;
const streams = 700;
const streamIntervalMs = 10;
const bookings = 350;
const bookingIntervalMs = 20;
const bookingWorkMs = 20;
const bookingTimeoutMs = 800;
const bookingDeadlineMs = 1500;
/** Time in milliseconds after the time of a route within which a request must have its final answer, and the number of requests from which that counts. */
const answerMs = 500;
const minUnanswered = 8;

const route = {
	Hostname: hostname, Anonymous: false, Priority: 1,
};
const configuration = {
	Version: 1,
	Routes: [
		{
			...route, Name: 'r-chat', PathPrefix: '/chat/', Service: 'pool', RouteType: 'streaming', TimeoutMs: 8000, TargetLatencyMs: 1500,
			TargetItlMs: 800, MaxAttempts: 3, Sticky: true, Resumable: true,
		},
		{
			...route, Name: 'r-book', PathPrefix: '/book/', Service: 'desk', RouteType: 'non_idempotent', TimeoutMs: bookingTimeoutMs, TargetLatencyMs: 121, MaxAttempts: 1,
		},
	],
	Services: [
		{
			Name: 'pool', HealthPath: '/healthz', MaxConns: 370, Protocol: 'h1', Tls: false, Backend: {Slots: 64, KvCapacity: 563_973, BaseModels: [{Name: 'm0', Cost: 0.018}]},
		},
		{
			Name: 'desk', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false,
		},
	],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 2}, async ({fleet, record, hasTrouble, closeLater}) => {
	let startedAt = Infinity;
	let endless = 0;
	const sendEndlessBytes = async (engine, {id}, res) => {
		endless++;
		record.add(`engine ${engine.name}: answers ${id} with bytes without end`);
		res.writeHead(200, {...engine.headersOf(id), 'content-type': 'text/event-stream'});
		let bytes = 0;
		while (!res.destroyed) {
			for (let count = 0; count < bytesInTurn; count++) {
				res.write('.');
			}

			bytes += bytesInTurn;
			await sleep(turnMs); // eslint-disable-line no-await-in-loop -- the host closes the connection
		}

		record.add(`engine ${engine.name}: ${id} was closed after ${bytes} bytes`);
	};

	const pool = Array.from({length: modelEngines}, (_, at) => {
		let answers = 0;
		const answer = (req, res) => {
			const isInTrouble = hasTrouble && at < modelEngines / 2 && performance.now() < startedAt + troubleMs;
			if (isInTrouble && ++answers % endlessInterval === 0) {
				sendEndlessBytes(engine, req, res);
			} else {
				answerStream(req, res, {headers: engine.headersOf(req.id), events, eventMs});
			}
		};

		const engine = closeLater(new Engine({
			fleet, name: `pool-${at + 1}`, service: 'pool', answer,
		}));
		return engine;
	});
	const desk = Array.from({length: 2}, (_, at) => {
		const engine = closeLater(new Engine({
			fleet, name: `desk-${at + 1}`, service: 'desk', slots: 6, async answer({id}, res) {
				await sleep(bookingWorkMs);
				res.writeHead(200, {...engine.headersOf(id), 'content-length': 2}).end('ok');
			},
		}));
		return engine;
	});
	const ask = async (at, target, {headers, deadlineMs}) => {
		const id = newAttemptId();
		const sentAt = performance.now();
		const {status, ending} = await send(fleet.frontends[at % fleet.frontends.length], requestText({
			method: 'POST', target, host: hostname, id, body: '{}', headers: {...authorization, ...headers, 'X-Deadline-Ms': String(deadlineMs)},
		}), deadlineMs);
		const ms = performance.now() - sentAt;
		record.add(`client: ${id} ${target} answered ${status}, ending ${ending}, after ${Math.round(ms)} ms`);
		return ms;
	};

	const chat = async at => ask(at, '/chat/1', {
		headers: {'X-Model': 'm0', 'X-Token-Count': '100,20', 'X-Prefix-Hash': `${at.toString(16)}a:80,${at.toString(16)}b:20`}, deadlineMs: 8000,
	});
	const book = async at => ask(at, '/book/1', {headers: {}, deadlineMs: bookingDeadlineMs});
	const askAll = async (count, intervalMs, send) => {
		const answers = [];
		for (let at = 0; at < count; at++) {
			answers.push(send(at));
			await sleep(intervalMs); // eslint-disable-line no-await-in-loop -- requests follow each other
		}

		return Promise.all(answers);
	};

	await fleet.start(configuration);
	await Promise.all([...pool, ...desk].map(async engine => engine.start()));
	await sleep(1500);
	startedAt = performance.now();
	// The longest pause of this script itself: it must not be taken for one of the entry hosts.
	let longestPauseMs = 0;
	let lastAt = performance.now();
	const pauses = setInterval(() => {
		const now = performance.now();
		longestPauseMs = Math.max(longestPauseMs, now - lastAt);
		lastAt = now;
	}, 10);
	const [, durations] = await Promise.all([askAll(streams, streamIntervalMs, chat), askAll(bookings, bookingIntervalMs, book)]);
	clearInterval(pauses);
	const unanswered = durations.filter(ms => ms > bookingTimeoutMs).length;
	const late = durations.filter(ms => ms > bookingTimeoutMs + answerMs).length;
	record.add(`${endless} answers were endless; longest pause of this script ${Math.round(longestPauseMs)} ms`);
	record.add(`of ${bookings} bookings ${unanswered} had no answer at the time of their route, ${late} of them had none ${answerMs} ms later`);
	return unanswered >= minUnanswered && late > unanswered / 2 ? outcome.broken : outcome.held;
});
