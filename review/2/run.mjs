import {setTimeout as sleep} from 'node:timers/promises';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {authorization, limits, tenant} from '../stand-ins/fleet.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {
	eventIds, newAttemptId, requestText, send,
} from '../stand-ins/client.mjs';
import {answerStream, answerUnframedStream} from '../stand-ins/stream.mjs';

const hostname = 'chat.example';
const engineCount = 4;
const streams = 240;
const events = 30;
const eventMs = 100;
/** Of the answers of half of the engines, one in so many has no length. */
const unframedInterval = 20;
/** Time in milliseconds from the start of the streams to the crash of an engine, and from there to its new start. */
const crashAfterMs = 1200;
const downMs = 2000;

const configuration = {
	Version: 1,
	Routes: [{
		Name: 'r-chat', Hostname: hostname, PathPrefix: '/chat/', RouteType: 'streaming', TimeoutMs: 25_000, TargetLatencyMs: 1000, TargetItlMs: 800, Priority: 2,
		Service: 'pool', MaxAttempts: 1, Anonymous: false, Sticky: true, Resumable: false,
	}],
	Services: [{
		Name: 'pool', HealthPath: '/healthz', MaxConns: 370, Protocol: 'h1', Tls: false, Backend: {Slots: 64, KvCapacity: 563_973, BaseModels: [{Name: 'm0', Cost: 0.018}]},
	}],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 2}, async ({fleet, record, hasTrouble, closeLater}) => {
	const unframed = new Set();
	const engines = Array.from({length: engineCount}, (_, at) => {
		let answers = 0;
		const answer = (req, res) => {
			const options = {headers: engine.headersOf(req.id), events, eventMs};
			if (at < engineCount / 2 && ++answers % unframedInterval === 0) {
				unframed.add(req.id);
				record.add(`engine ${engine.name}: answers ${req.id} without a length`);
				answerUnframedStream(req, res, options);
			} else {
				answerStream(req, res, options);
			}
		};

		const engine = closeLater(new Engine({
			fleet, name: `pool-${at + 1}`, service: 'pool', answer,
		}));
		return engine;
	});
	const ask = async frontend => {
		const id = newAttemptId();
		const result = await send(frontend, requestText({
			method: 'POST', target: '/chat/1', host: hostname, id, body: '{}', headers: {
				...authorization, 'X-Model': 'm0', 'X-Token-Count': '100,30', 'X-Prefix-Hash': `${id.slice(8)}:80,${id.slice(0, 8)}:20`, 'X-Deadline-Ms': '20000',
			},
		}), 20_000);
		const ids = eventIds(result.body);
		record.add(`client: ${id} answered ${result.status}, framing ${result.framing}, ending ${result.ending}, ${ids.length} of ${events} events`);
		return {id, ids, ...result};
	};

	await fleet.start(configuration);
	await Promise.all(engines.map(async engine => engine.start()));
	await sleep(1500);
	const answers = Array.from({length: streams}, async (_, at) => ask(fleet.frontends[at % fleet.frontends.length]));
	await sleep(crashAfterMs);
	if (hasTrouble) {
		const [engine] = engines;
		record.add(`engine ${engine.name}: crashes, its connections are reset`);
		engine.crash();
		await sleep(downMs);
		await engine.restart();
	}

	const results = await Promise.all(answers);
	const broken = results.filter(({status, ending, ids}) => status === 200 && ending === 'complete' && ids.length < events);
	record.add(`${unframed.size} answers had no length; ${results.filter(({ending}) => ending !== 'complete').length} answers were cut, and their clients see it`);
	record.add(`${broken.length} of ${streams} answers look complete though events are missing: ${broken.map(({id}) => id).join(', ')}`);
	return broken.length > 0 ? outcome.broken : outcome.held;
});
