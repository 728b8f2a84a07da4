import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {BackendFormat} from '../../platform/backend-format.js';
import {nullLogger} from '../common/base/null-logger.js';
import {endlessAnswers, type EndlessAnswer, EndlessServers} from '../testing/endless-servers.js';
import {HeldLoopMeter} from '../testing/held-loop-meter.js';
import {HttpBackendPort} from './http-backend-port.js';

const names = Object.keys(endlessAnswers) as EndlessAnswer[];
const faultyIntervalMs = 25;
const soundIntervalMs = 50;
const durationMs = 2000;
const faultyDeadlineMs = 1500;
const soundDeadlineMs = 1000;
const maxPauseMs = 50;

let port: HttpBackendPort | undefined;
let servers: EndlessServers | undefined;

afterEach(() => {
	port?.dispose();
	servers?.close();
});

/** Sends an attempt and aborts it after its deadline. @returns the time in milliseconds until its answer ended completely, if it did. */
async function send(address: string, deadlineMs: number): Promise<number | undefined> {
	const startedAt = performance.now();
	return new Promise(resolve => {
		const handle = port!.send({
			method: 'GET', target: '/', headers: ['host', 'h'], body: undefined,
		}, {
			requestId: 'q', serverId: 's', address, maxConnections: 400, remainingMs: deadlineMs, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart: () => true,
			onHead: () => undefined,
			onData: () => true,
			onEnd() {
				clearTimeout(timer);
				resolve(performance.now() - startedAt);
			},
			onFailure() {
				clearTimeout(timer);
				resolve(undefined);
			},
		});
		const timer = setTimeout(() => {
			handle.abort();
			resolve(undefined);
		}, deadlineMs);
	});
}

// Guards against servers that send bytes without end and so take the time of a host from its other callers.
it.each([...names.map(name => ({name, answers: [name]})), {name: 'all of these', answers: names}])('answers sound requests in time beside $name without an end', async ({answers}) => {
	servers = await EndlessServers.open(answers);
	port = new HttpBackendPort(new BackendFormat(), nullLogger);
	await send(servers.soundAddress, soundDeadlineMs);
	const {soundAddress, faultyAddresses} = servers;
	const meter = new HeldLoopMeter();
	let sent = 0;
	const faulty = setInterval(() => {
		void send(faultyAddresses[sent++ % faultyAddresses.length]!, faultyDeadlineMs);
	}, faultyIntervalMs);
	const sound: Array<Promise<number | undefined>> = [];
	const endAt = performance.now() + durationMs;
	while (performance.now() < endAt) {
		sound.push(send(soundAddress, soundDeadlineMs));
		await delay(soundIntervalMs); // eslint-disable-line no-await-in-loop -- a constant rate
	}

	clearInterval(faulty);
	const times = await Promise.all(sound);
	meter.dispose();
	expect(times.filter(time => time === undefined)).toHaveLength(0);
	expect(meter.longestMs).toBeLessThan(maxPauseMs);
});
