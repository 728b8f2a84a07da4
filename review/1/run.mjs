import {Agent, request} from 'node:http';
import {Buffer} from 'node:buffer';
import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {outcome, runCase} from '../stand-ins/case.mjs';
import {authorization, limits, tenant} from '../stand-ins/fleet.mjs';
import {Engine} from '../stand-ins/engine.mjs';
import {newAttemptId} from '../stand-ins/client.mjs';

const hostname = 'app.example';
const engineCount = 12;
/** Range of the time in milliseconds that an engine takes for a request. */
const workMs = {min: 200, max: 1500};
/** Half of the engines send bytes without end in place of one in so many answers, for so many milliseconds. */
const endlessInterval = 50;
const troubleMs = 5500;
/** Chunks of one byte that such an engine sends in a turn, and the time of a turn in milliseconds. */
const chunksInTurn = 1000;
const turnMs = 5;
/** Clients of each entry host; each sends its requests one after the other on one connection. */
const clientsPerEntry = 100;
const pauseMs = 50;
const playMs = 9000;
/** Number of lost requests that the rule allows. */
const allowed = 3;

const configuration = {
	Version: 1,
	Routes: [{
		Name: 'r-book', Hostname: hostname, PathPrefix: '/book/', RouteType: 'non_idempotent', TimeoutMs: 4000, TargetLatencyMs: 1500, Priority: 2, Service: 'desk', MaxAttempts: 1, Anonymous: false,
	}],
	Services: [{
		Name: 'desk', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false,
	}],
	Limits: limits,
	Tenants: [tenant],
};

await runCase(import.meta.url, {controls: 3, entries: 2}, async ({fleet, record, hasTrouble, closeLater}) => {
	let startedAt = Infinity;
	let endless = 0;
	/** Requests that an engine has begun to work on and would answer. */
	const soundRuns = new Set();
	const chunks = Buffer.from('1\r\n.\r\n'.repeat(chunksInTurn));
	const sendEndlessBytes = async (engine, {id}, res) => {
		endless++;
		record.add(`engine ${engine.name}: answers ${id} with bytes without end`);
		const {socket} = res;
		res.writeHead(200, engine.headersOf(id));
		res.flushHeaders();
		let bytes = 0;
		while (!socket.destroyed) {
			if (socket.writableLength === 0) {
				socket.write(chunks);
				bytes += chunksInTurn;
			}

			await sleep(turnMs); // eslint-disable-line no-await-in-loop -- the host closes the connection
		}

		record.add(`engine ${engine.name}: the connection of ${id} was closed after ${bytes} bytes`);
	};

	const engines = Array.from({length: engineCount}, (_, at) => {
		let answers = 0;
		const engine = closeLater(new Engine({
			fleet, name: `desk-${at + 1}`, service: 'desk', slots: 20, async answer(req, res) {
				if (hasTrouble && at < engineCount / 2 && performance.now() < startedAt + troubleMs && ++answers % endlessInterval === 0) {
					await sendEndlessBytes(engine, req, res);
					return;
				}

				soundRuns.add(req.id);
				await sleep(randomInt(workMs.min, workMs.max));
				res.writeHead(200, {...engine.headersOf(req.id), 'content-length': 2}).end('ok');
			},
		}));
		return engine;
	});
	/** Sends one request on the client's connection. */
	const ask = async (agent, frontend) => new Promise(resolve => {
		const id = newAttemptId();
		const [host, port] = frontend.split(':');
		const req = request({
			host, port, agent, method: 'POST', path: '/book/1', headers: {
				host: hostname, 'x-attempt-id': id, 'x-deadline-ms': '4000', ...authorization, 'content-length': 2,
			},
		}, res => {
			res.resume();
			res.on('end', () => {
				record.add(`client: ${id} answered ${res.statusCode}`);
				resolve({id, status: res.statusCode});
			});
			res.on('error', () => resolve({id, isClosed: true, isKept: req.reusedSocket}));
		});
		req.on('error', error => {
			record.add(`client: ${id} got no answer, ${error.code}${req.reusedSocket ? ', on a kept connection' : ''}`);
			resolve({id, isClosed: error.code === 'ECONNRESET', isKept: req.reusedSocket});
		});
		req.end('{}');
	});
	const results = [];
	const run = async frontend => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		while (performance.now() < startedAt + playMs) {
			results.push(await ask(agent, frontend)); // eslint-disable-line no-await-in-loop -- requests follow each other
			await sleep(pauseMs); // eslint-disable-line no-await-in-loop -- as above
		}

		agent.destroy();
	};

	await fleet.start(configuration);
	await Promise.all(engines.map(async engine => engine.start()));
	await sleep(1500);
	startedAt = performance.now();
	await Promise.all(fleet.frontends.flatMap(frontend => Array.from({length: clientsPerEntry}, async () => run(frontend))));
	const lost = results.filter(({id, isClosed, isKept}) => isClosed && isKept && soundRuns.has(id));
	const ended = fleet.entries.filter(entry => entry.ends > 0);
	record.add(`${endless} answers were endless; ended by themselves: ${ended.map(({name}) => name).join(', ') || 'no entry host'}`);
	record.add(`${lost.length} of ${results.length} requests on kept connections were passed on to a sound engine and lost with their connection`);
	return lost.length > allowed ? outcome.broken : outcome.held;
});
