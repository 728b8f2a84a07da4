import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {authorization, limits, tenant} from '../stand-ins/fleet.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {newAttemptId, requestText, send} from '../stand-ins/client.mjs';

const hostname = 'desk.example';
const engineCount = 7;
const workMs = 60;
const bookings = 140;
/** One engine fails this share of its requests, for so many milliseconds. */
const failingShare = 0.4;
const failingMs = 6500;
/** Answers that promise the client that its request has not run. */
const promises = new Set([408, 421, 429, 503]);

const configuration = {
	Version: 1,
	Routes: [{
		Name: 'r-book', Hostname: hostname, PathPrefix: '/book/', RouteType: 'non_idempotent', TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, Service: 'desk', MaxAttempts: 1, Anonymous: false,
	}],
	Services: [{
		Name: 'desk', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false,
	}],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 2}, async ({fleet, record, hasTrouble, closeLater}) => {
	let startedAt = Infinity;
	/** Number of runs by booking: an engine has begun to work on it. */
	const runs = new Map();
	const engines = Array.from({length: engineCount}, (_, at) => {
		let answers = 0;
		const answer = async ({id, body}, res) => {
			const booking = body.toString('utf8');
			runs.set(booking, (runs.get(booking) ?? 0) + 1);
			await sleep(workMs);
			const isFailing = hasTrouble && at === 0 && performance.now() < startedAt + failingMs && (++answers * failingShare) % 1 < failingShare;
			if (isFailing) {
				// The engine has worked on the request, so it does not say `X-Not-Executed`.
				record.add(`engine ${engine.name}: has run ${id} and fails with 503`);
				res.writeHead(503, {...engine.headersOf(id), 'content-length': 0}).end();
				return;
			}

			const text = JSON.stringify({booked: booking});
			res.writeHead(200, {...engine.headersOf(id), 'content-type': 'application/json', 'content-length': text.length}).end(text);
		};

		const engine = closeLater(new Engine({
			fleet, name: `desk-${at + 1}`, service: 'desk', slots: 6, answer,
		}));
		return engine;
	});
	/** Books; the client retries once, and only after the promise that its request has not run. Returns the attempts that ran in spite of the promise. */
	const book = async (booking, at) => {
		const broken = [];
		for (let attempt = 0; attempt < 2; attempt++) {
			const id = newAttemptId();
			// eslint-disable-next-line no-await-in-loop -- attempts follow each other
			const {status, headers} = await send(fleet.frontends[(at + attempt) % fleet.frontends.length], requestText({
				method: 'POST', target: '/book/1', host: hostname, id, body: booking, headers: {...authorization, 'X-Deadline-Ms': '3000'},
			}), 4000);
			const hasRun = engines.some(engine => engine.runs.some(run => run.id === id));
			record.add(`client: ${id} for ${booking} answered ${status}${hasRun ? ', has run' : ', has not run'}`);
			if (!promises.has(status)) {
				break;
			}

			if (hasRun) {
				broken.push(id);
			}

			await sleep(Number(headers['retry-after'] ?? 0) * 1000); // eslint-disable-line no-await-in-loop -- as above
		}

		return broken;
	};

	await fleet.start(configuration);
	await Promise.all(engines.map(async engine => engine.start()));
	await sleep(1500);
	startedAt = performance.now();
	const broken = [];
	for (let at = 0; at < bookings; at++) {
		broken.push(...await book(`booking-${at + 1}`, at)); // eslint-disable-line no-await-in-loop -- bookings follow each other
	}

	const doubled = [...runs].filter(([, count]) => count > 1).map(([booking]) => booking);
	record.add(`${broken.length} requests that ran were answered as not run: ${broken.join(', ')}; run twice by a retry: ${doubled.join(', ')}`);
	return broken.length > 0 ? outcome.broken : outcome.held;
});
