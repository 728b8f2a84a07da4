import {type ChildProcess, fork} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runInNewContext} from 'node:vm';
import {heapUsed} from '../ledger/bench-support.js';
import {ControlRig} from '../control-rig.js';
import {targetSize, todaySize} from './control-samples.js';

/** Memory of a copy of the control state and of a whole daemon. */
export interface MemorySamples {
	/** Heap of one copy of the control state with 10,000 change ids, in bytes. */
	readonly targetCopyBytes: number;
	readonly todayCopyBytes: number;
	readonly targetSnapshotBytes: number;
	readonly targetRestoreMs: number;
	/** Resident memory of a daemon that is the only voter, without requests and backend servers. */
	readonly daemonResidentBytes: number;
	readonly daemonIdleCpuShare: number;
}

type DaemonReport = {cpuSeconds: number; residentBytes: number};

const changes = 10_000;
const idleMs = 4000;

async function requestReport(daemon: ChildProcess): Promise<DaemonReport> {
	daemon.send('report');
	const [message] = await once(daemon, 'message') as [DaemonReport];
	return message;
}

async function measureDaemon(): Promise<{residentBytes: number; cpuShare: number}> {
	const folder = await mkdtemp(path.join(tmpdir(), 'bench-capacity-'));
	const daemon = fork(fileURLToPath(new URL('../entry-daemon.js', import.meta.url)), [folder]);
	try {
		await once(daemon, 'message');
		await requestReport(daemon);
		const start = performance.now();
		await wait(idleMs);
		const {cpuSeconds, residentBytes} = await requestReport(daemon);
		return {residentBytes, cpuShare: cpuSeconds * 1000 / (performance.now() - start)};
	} finally {
		daemon.send('exit');
		await once(daemon, 'exit');
		await rm(folder, {recursive: true, force: true});
	}
}

async function measureCopy(size: typeof targetSize) {
	const rig = await ControlRig.start(size);
	const state = await rig.measureState(changes);
	rig.dispose();
	return state;
}

/** Measures a copy of the control state, and a daemon in its own process. */
export async function measureMemorySamples(): Promise<MemorySamples> {
	heapUsed();
	(globalThis as {gc?: () => void}).gc ??= runInNewContext('gc') as () => void;
	const target = await measureCopy(targetSize);
	const today = await measureCopy(todaySize);
	const {residentBytes, cpuShare} = await measureDaemon();
	return {
		targetCopyBytes: target.heapBytes!,
		todayCopyBytes: today.heapBytes!,
		targetSnapshotBytes: target.snapshotBytes,
		targetRestoreMs: target.restoreMs,
		daemonResidentBytes: residentBytes,
		daemonIdleCpuShare: cpuShare,
	};
}
