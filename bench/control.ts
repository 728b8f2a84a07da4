import process from 'node:process';
import {measureHttp, type HttpResult} from './control-http.js';
import {ControlRig, type RigSize, type RigResult} from './control-rig.js';

/**
Measures bytes and CPU time per renewal of the control protocol by number of daemons, engines and services, and the cost of
configuration changes. Bytes are those of the JSON bodies; the last section adds JSON-RPC and HTTP over a loopback socket.
Usage: node bench/control.js [rounds]
*/

const rounds = Number(process.argv[2] ?? 10);
const target: RigSize = {daemons: 370, engines: 690, services: 1};
const changesPerSecond = 2100 / 86_400;

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

function describe({daemons, engines, services}: RigSize): string {
	return `${String(daemons).padStart(4)} daemons ${String(engines).padStart(4)} engines ${services} services`;
}

function printResult(size: RigSize, result: RigResult): void {
	print([
		describe(size),
		`request ${result.requestBytes.toFixed(0)} B`,
		`reply ${result.replyBytes.toFixed(0)} B`,
		`leader ${result.leaderUs.toFixed(1)} us per renewal`,
		`leader sweeps ${result.sweepMs.toFixed(2)} ms/s`,
		`follower ${result.daemonUs.toFixed(1)} us per renewal`,
		`leader share of a core ${((result.leaderUs * size.daemons / 10_000) + (result.sweepMs / 10)).toFixed(2)} %`,
	].join(', '));
}

async function measure(size: RigSize): Promise<RigResult> {
	const rig = await ControlRig.start(size);
	await rig.run(3);
	const result = await rig.run(rounds);
	printResult(size, result);
	rig.dispose();
	return result;
}

async function measureSlopes(): Promise<RigResult> {
	print('Slope over daemons:');
	for (const daemons of [10, 50, 100, 200, 370]) {
		// eslint-disable-next-line no-await-in-loop -- one measurement at a time
		await measure({...target, daemons});
	}

	print('Slope over engines:');
	for (const engines of [13, 100, 300]) {
		// eslint-disable-next-line no-await-in-loop -- one measurement at a time
		await measure({...target, engines});
	}

	const result = await measure(target);
	print('Slope over services, each with its own engines:');
	for (const services of [3, 6]) {
		// eslint-disable-next-line no-await-in-loop -- one measurement at a time
		await measure({...target, services});
	}

	return result;
}

async function measureChanges(base: RigResult): Promise<void> {
	const rig = await ControlRig.start(target);
	await rig.run(3);
	const result = await rig.runChanges(rounds);
	rig.dispose();
	// Each change costs its log entry and one extra renewal, which confirms it.
	const bytes = result.entryBytes + base.requestBytes + base.replyBytes;
	print(`Changes: ${result.entryBytes.toFixed(0)} B per change in the reply, ${result.applyUs.toFixed(1)} us to apply it at a daemon`);
	print(`2,100 changes a day add ${(bytes * changesPerSecond).toFixed(1)} B/s and ${((result.applyUs + base.daemonUs) * changesPerSecond / 10_000).toFixed(5)} % of a core per daemon`);
}

async function measureState(): Promise<void> {
	const rig = await ControlRig.start(target);
	const result = await rig.measureState(10_000);
	rig.dispose();
	const size = (result.snapshotBytes / 1024).toFixed(0);
	print(`State with 10,000 change ids: snapshot ${size} KiB, written in ${result.snapshotMs.toFixed(1)} ms, restored in ${result.restoreMs.toFixed(1)} ms`);
	print(result.heapBytes === undefined ? 'Heap not measured: run with --expose-gc' : `Heap of one copy: ${(result.heapBytes / 1_048_576).toFixed(1)} MiB`);
}

function printHttp(result: HttpResult, base: RigResult): void {
	print(`Over HTTP: request ${result.requestBytes.toFixed(0)} B, reply ${result.replyBytes.toFixed(0)} B, ${result.cpuUs.toFixed(0)} us of CPU per renewal, client and server together`);
	const kilobytes = ((result.requestBytes + result.replyBytes) / 1000).toFixed(2);
	const cpuShare = ((result.cpuUs + base.daemonUs) / 10_000).toFixed(3);
	print(`Per daemon at one renewal a second: ${kilobytes} KB/s of 11, at most ${cpuShare} % of a core of 2.1`);
}

const base = await measureSlopes();
await measureChanges(base);
await measureState();
printHttp(await measureHttp(base.requestText, base.replyText), base);
