import {fork} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';

/** Requests that a process sends at a constant rate. */
export interface CallPlan {
	/** Requests to send in turn, with their URL, method, headers and whether the answer is read slowly. */
	readonly calls: ReadonlyArray<{readonly url: string; readonly method: 'GET' | 'HEAD'; readonly headers: Record<string, string>; readonly isReadSlowly: boolean}>;
	readonly intervalMs: number;
	/** Time after which a request without a complete answer is lost. */
	readonly timeoutMs: number;
}

/** What became of the requests. */
export type CallResult = {
	/** Milliseconds until the complete answer of each request; undefined for those without one or without status 200. */
	readonly times: ReadonlyArray<number | null>; // eslint-disable-line @typescript-eslint/no-restricted-types -- as messages between processes represent it
	readonly statuses: Readonly<Record<string, number>>;
	/** Bytes of all bodies. */
	readonly bytes: number;
};

const slowReadMs = 500;

/** Sends the requests from a process of their own. @returns what became of them. */
export async function callFromProcess(plan: CallPlan): Promise<CallResult> {
	const child = fork(fileURLToPath(import.meta.url), ['call']);
	child.send(plan);
	const [result] = await once(child, 'message') as [CallResult];
	const ended = once(child, 'exit');
	child.kill('SIGKILL');
	await ended;
	return result;
}

async function call(agent: Agent, {url, method, headers, isReadSlowly}: CallPlan['calls'][number], timeoutMs: number): Promise<{ms: number | null; status: string; bytes: number}> { // eslint-disable-line @typescript-eslint/no-restricted-types -- as above
	const startedAt = performance.now();
	let status = 'none';
	let bytes = 0;
	try {
		const {statusCode, body} = await request(url, {
			method, headers, dispatcher: agent, signal: AbortSignal.timeout(timeoutMs),
		});
		status = `${statusCode} cut`;
		for await (const data of body) {
			bytes += (data as Uint8Array).length;
			if (isReadSlowly) {
				await delay(slowReadMs);
			}
		}

		status = String(statusCode);
		return {ms: statusCode === 200 ? performance.now() - startedAt : null, status, bytes};
	} catch {
		return {ms: null, status, bytes};
	}
}

async function callAll({calls, intervalMs, timeoutMs}: CallPlan): Promise<CallResult> {
	const agent = new Agent({connections: 500});
	const results = [];
	const startedAt = performance.now();
	for (const [index, item] of calls.entries()) {
		results.push(call(agent, item, timeoutMs));
		await delay(Math.max(0, startedAt + ((index + 1) * intervalMs) - performance.now())); // eslint-disable-line no-await-in-loop -- a constant rate
	}

	const times = [];
	const statuses: Record<string, number> = {};
	let bodyBytes = 0;
	for (const {ms, status, bytes} of await Promise.all(results)) {
		times.push(ms);
		bodyBytes += bytes;
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	return {times, statuses, bytes: bodyBytes};
}

if (process.argv[2] === 'call') {
	process.once('message', async plan => {
		process.send!(await callAll(plan as CallPlan));
	});
	process.once('disconnect', () => {
		process.exit();
	});
}
