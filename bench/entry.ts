import {type ChildProcess, fork} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {LoadTarget, type Sample} from './load-target.js';

/**
Measures the latency that the daemon adds to direct calls of the same emulated engine. Engine and daemon run in their own
processes; this process generates the load, alternately to the engine and through the daemon. Flags: `--rounds N`,
`--rate N`, `--streams N`, `--cpu-prof` (writes a CPU profile of the daemon to the working folder).
*/
const rounds = numberFlag('--rounds', 4);
const ratePerSecond = numberFlag('--rate', 500);
const streams = numberFlag('--streams', 100);
/** 20 tokens with a decoding step of 10 ms make an answer of 200 ms, so that 500 requests/s keep 100 streams open. */
const stepMs = 10;
const answerTokens = 20;
const phaseSeconds = 4;
const key = 'bench-key';

type Phase = {readonly samples: Sample[]; readonly seconds: number};

function numberFlag(name: string, fallback: number): number {
	const index = process.argv.indexOf(name);
	return index === -1 ? fallback : Number(process.argv[index + 1]);
}

function startProcess(script: string, args: string[], execArgv: string[] = []): ChildProcess {
	return fork(path.join(import.meta.dirname, script), args, {execArgv});
}

async function callChild<Reply>(child: ChildProcess, message: string): Promise<Reply> {
	child.send(message);
	const [reply] = await once(child, 'message') as [Reply];
	return reply;
}

/** Sends at a fixed rate, independent of the latency of answers. */
async function openLoop(target: LoadTarget): Promise<Phase> {
	const startedAt = performance.now();
	const inFlight: Array<Promise<Sample>> = [];
	const total = ratePerSecond * phaseSeconds;
	while (inFlight.length < total) {
		const due = Math.min(total, Math.floor((performance.now() - startedAt) * ratePerSecond / 1000) + 1);
		while (inFlight.length < due) {
			inFlight.push(target.send());
		}

		// eslint-disable-next-line no-await-in-loop -- paces the load
		await wait(1);
	}

	const samples = await Promise.all(inFlight);
	return {samples, seconds: (performance.now() - startedAt) / 1000};
}

/** Keeps a number of streams open. */
async function closedLoop(target: LoadTarget): Promise<Phase> {
	const startedAt = performance.now();
	const samples: Sample[] = [];
	await Promise.all(Array.from({length: streams}, async () => {
		while (performance.now() - startedAt < phaseSeconds * 1000) {
			samples.push(await target.send()); // eslint-disable-line no-await-in-loop -- one request after another
		}
	}));
	return {samples, seconds: (performance.now() - startedAt) / 1000};
}

function quantile(samples: readonly Sample[], share: number): number {
	const sorted = samples.filter(({isComplete}) => isComplete).map(({firstTokenMs}) => firstTokenMs).filter(value => !Number.isNaN(value)).toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

async function submitDocument(control: string): Promise<void> {
	const keySha256 = createHash('sha256').update(key).digest('hex');
	const body = JSON.stringify({service: 'bench', customers: [{name: 'customer', keySha256}], versions: ['bench@1']});
	const res = await request(`http://${control}/operator/v1/documents?changeId=bench`, {method: 'POST', body});
	await res.body.dump();
	if (res.statusCode !== 200) {
		throw new Error(`the service document was rejected with HTTP status ${res.statusCode}`);
	}
}

type DaemonReport = {readonly cpuSeconds: number; readonly residentBytes: number; readonly hasLease: boolean; readonly backendServers: number};

async function main(): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'catkinbeam-bench-'));
	const daemon = startProcess('entry-daemon.js', [folder], process.argv.includes('--cpu-prof') ? ['--cpu-prof', '--cpu-prof-dir=.'] : []);
	const [{callers, control}] = await once(daemon, 'message') as [{callers: string; control: string}];
	const engine = startProcess('entry-engine.js', [control, String(stepMs), String(answerTokens)]);
	try {
		const [{address}] = await once(engine, 'message') as [{address: string}];
		await submitDocument(control);
		for (let report = await callChild<DaemonReport>(daemon, 'report'); !report.hasLease || report.backendServers === 0; report = await callChild<DaemonReport>(daemon, 'report')) { // eslint-disable-line no-await-in-loop -- polls
			await wait(50); // eslint-disable-line no-await-in-loop -- polls
		}

		const direct = new LoadTarget(address, 'bench@1', undefined);
		const routed = new LoadTarget(callers, 'bench', key);
		for (const [name, loop] of [[`${ratePerSecond} requests/s`, openLoop], [`${streams} streams`, closedLoop]] as const) {
			await measure(name, loop, {direct, routed, daemon}); // eslint-disable-line no-await-in-loop -- one load at a time
		}

		await checkExecutedOnce(engine);
		await Promise.all([direct.close(), routed.close()]);
	} finally {
		daemon.send('exit');
		await once(daemon, 'exit');
		engine.disconnect();
		await once(engine, 'exit');
		await rm(folder, {recursive: true, force: true});
	}
}

const routedIds: string[] = [];
let lost = 0;
let refused = 0;

async function measure(name: string, loop: (target: LoadTarget) => Promise<Phase>, {direct, routed, daemon}: {direct: LoadTarget; routed: LoadTarget; daemon: ChildProcess}): Promise<void> {
	const samples = {direct: [] as Sample[], routed: [] as Sample[]};
	const seconds = {direct: 0, routed: 0};
	let cpuSeconds = 0;
	let residentBytes = 0;
	// The first round only warms up connections and the JIT compiler; it is not counted.
	for (let round = 0; round <= rounds; round++) {
		for (const kind of ['direct', 'routed'] as const) {
			await callChild(daemon, 'report'); // eslint-disable-line no-await-in-loop -- alternates
			const phase = await loop(kind === 'direct' ? direct : routed); // eslint-disable-line no-await-in-loop -- alternates
			const report = await callChild<DaemonReport>(daemon, 'report'); // eslint-disable-line no-await-in-loop -- alternates
			if (kind === 'routed') {
				routedIds.push(...phase.samples.map(({id}) => id));
				lost += phase.samples.filter(({isComplete, status}) => !isComplete && status < 400).length;
				refused += phase.samples.filter(({status}) => status >= 400).length;
			}

			if (round > 0) {
				samples[kind].push(...phase.samples);
				seconds[kind] += phase.seconds;
				cpuSeconds += kind === 'routed' ? report.cpuSeconds : 0;
				residentBytes = Math.max(residentBytes, report.residentBytes);
			}
		}
	}

	const [p50Direct, p50Routed, p99Direct, p99Routed] = [[samples.direct, 0.5], [samples.routed, 0.5], [samples.direct, 0.99], [samples.routed, 0.99]].map(([list, share]) => quantile(list as Sample[], share as number)) as [number, number, number, number];
	const format = (value: number) => value.toFixed(2);
	process.stdout.write([
		`${name}: ${samples.direct.length} direct, ${samples.routed.length} through the daemon`,
		`  first token p50 ms  direct ${format(p50Direct)}  daemon ${format(p50Routed)}  added ${format(p50Routed - p50Direct)}  ratio ${format(p50Routed / p50Direct)}`,
		`  first token p99 ms  direct ${format(p99Direct)}  daemon ${format(p99Routed)}  added ${format(p99Routed - p99Direct)}  ratio ${format(p99Routed / p99Direct)}`,
		`  rate/s direct ${format(samples.direct.length / seconds.direct)}  daemon ${format(samples.routed.length / seconds.routed)}  requests/s per core ${format(samples.routed.length / cpuSeconds)}  resident MB ${format(residentBytes / 1e6)}`,
		'',
	].join('\n'));
}

/** Checks that no request was lost or ran more than once at the engine, and that request ids are unique. */
async function checkExecutedOnce(engine: ChildProcess): Promise<void> {
	const {executed} = await callChild<{executed: string[]}>(engine, 'report');
	const runs = new Map<string, number>();
	for (const attempt of executed) {
		const id = attempt.slice(0, attempt.lastIndexOf('.'));
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}

	const doubled = routedIds.filter(id => (runs.get(id) ?? 0) > 1).length;
	process.stdout.write(`requests through the daemon ${routedIds.length}, lost ${lost}, refused ${refused}, doubled ${doubled}\n`);
	if (lost > 0 || doubled > 0 || new Set(routedIds).size !== routedIds.length) {
		process.exitCode = 1;
	}
}

await main();
