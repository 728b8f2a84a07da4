import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {authorization, limits, tenant} from '../stand-ins/fleet.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {
	eventIds, newAttemptId, requestText, send,
} from '../stand-ins/client.mjs';
import {answerStream, eventText} from '../stand-ins/stream.mjs';

const hostname = 'chat.example';
const engineCount = 6;
const events = 12;
/** Time in milliseconds between the events of a short and of a long answer of the small model, and of the large one. */
const eventMs = {short: 40, long: 300, large: 20};
/** Time in milliseconds until the large model answers, and for a few requests, for which it has to wait for a place. */
const largeFirstMs = {usual: 100, waiting: 2600};
/** Half of the engines spoil one in so many of their answers, for so many milliseconds. */
const spoilInterval = 50;
const spoilMs = 5500;
/** The event in whose place a faulty engine sends bytes that are no event. */
const spoiltEvent = 4;
const requests = 500;
const requestIntervalMs = 16;

const configuration = {
	Version: 1,
	Routes: [{
		Name: 'r-chat', Hostname: hostname, PathPrefix: '/chat/', RouteType: 'streaming', TimeoutMs: 25_000, TargetLatencyMs: 1000, TargetItlMs: 800, Priority: 0,
		Sizes: ['small', 'large'], Service: 'pool', MaxAttempts: 3, Anonymous: false, Sticky: true, Resumable: true,
	}],
	Services: [{
		Name: 'pool', HealthPath: '/healthz', MaxConns: 370, Protocol: 'h1', Tls: false,
		Backend: {Slots: 64, KvCapacity: 563_973, BaseModels: [{Name: 'small', Cost: 0.018}, {Name: 'large', Cost: 0.27}]},
	}],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 4}, async ({fleet, record, hasTrouble, closeLater}) => {
	/** Requests for which the large model has to wait. In the run with the disruption, the answer of the small model to these is spoilt. */
	const chosen = new Set();
	let startedAt = Infinity;
	const engines = Array.from({length: engineCount}, (_, at) => {
		let answers = 0;
		let nextSpoilt = spoilInterval;
		const answer = async (req, res, run) => {
			const isDoubtful = req.req.url.includes('doubtful');
			const isFirst = run.model === 'small' && run.after === undefined;
			const isFaulty = at < engineCount / 2 && performance.now() < startedAt + spoilMs && ++answers >= nextSpoilt && isFirst && isDoubtful;
			if (isFaulty) {
				nextSpoilt += spoilInterval;
				chosen.add(req.id);
			}

			if (run.model === 'large') {
				await sleep(chosen.has(req.id) ? largeFirstMs.waiting : largeFirstMs.usual);
			}

			await answerStream(req, res, {
				headers: {...engine.headersOf(req.id), 'x-confidence': run.model === 'small' && isDoubtful ? '5' : '95'},
				events,
				eventMs: run.model === 'large' ? eventMs.large : (req.req.url.endsWith('long') ? eventMs.long : eventMs.short),
				bytesOf(event) {
					if (!isFaulty || !hasTrouble || event !== spoiltEvent) {
						return eventText(event, req.id);
					}

					record.add(`engine ${engine.name}: sends bytes that are no event in place of event ${event} of ${req.id}`);
					return '#~%$ bytes that are no answer\n\n';
				},
			});
		};

		const engine = closeLater(new Engine({
			fleet, name: `pool-${at + 1}`, service: 'pool', answer,
		}));
		return engine;
	});
	const ask = async (frontend, target) => {
		const id = newAttemptId();
		const result = await send(frontend, requestText({
			method: 'POST', target, host: hostname, id, body: '{}', headers: {
				...authorization, 'X-Model': '*', 'X-Token-Count': '100,20', 'X-Prefix-Hash': `${id.slice(8)}:80,${id.slice(0, 8)}:20`, 'X-Deadline-Ms': '20000',
			},
		}), 20_000);
		const ids = eventIds(result.body);
		record.add(`client: ${id} answered ${result.status}, ending ${result.ending}, events ${ids.join(',')}`);
		const isInOrder = ids.every((event, index) => event === index + 1);
		return result.status === 200 && (!isInOrder || (result.ending === 'complete' && ids.length < events)) ? id : undefined;
	};

	await fleet.start(configuration);
	await Promise.all(engines.map(async engine => engine.start()));
	await sleep(1500);
	startedAt = performance.now();
	const answers = [];
	for (let at = 0; at < requests; at++) {
		const kind = `/chat/${at % 2 === 0 ? 'doubtful' : 'clear'}/${at % 4 < 2 ? 'short' : 'long'}`;
		answers.push(ask(fleet.frontends[Math.floor(at / 4) % fleet.frontends.length], kind));
		await sleep(requestIntervalMs); // eslint-disable-line no-await-in-loop -- requests follow each other
	}

	const results = await Promise.all(answers);
	const broken = results.filter(Boolean);
	record.add(`${hasTrouble ? chosen.size : 0} answers were spoilt; ${broken.length} of ${requests} streams lack an event or repeat one: ${broken.join(', ')}`);
	return broken.length > 0 ? outcome.broken : outcome.held;
});
