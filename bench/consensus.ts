/** Measures a consensus group of three members in one process, with logs in real files. Usage: node bench/consensus.js [folder] */
import {tmpdir} from 'node:os';
import process from 'node:process';
import {
	ConsensusGroup, command, measureCommits, withTemporaryFolder,
} from './consensus-group.js';

const runMs = 4000;

/** Measures the CPU use of an idle group, all three members together. */
async function measureIdle(root: string): Promise<void> {
	await withTemporaryFolder(root, async folder => {
		const group = new ConsensusGroup(folder, 10_000);
		await group.bootstrap();
		const cpu = process.cpuUsage();
		await new Promise(resolve => {
			setTimeout(resolve, runMs);
		});
		const cpuUsed = process.cpuUsage(cpu);
		console.log(JSON.stringify({idleCpuShareOfGroup: Number(((cpuUsed.user + cpuUsed.system) / 1e3 / runMs).toFixed(4)), megabytes: Math.round(process.memoryUsage().rss / 1e6)}));
		group.dispose();
	});
}

/** Stops a follower after a number of entries, restarts it and measures the time until it has applied all of them. */
async function measureRestart(root: string, entries: number, snapshotInterval: number): Promise<void> {
	await withTemporaryFolder(root, async folder => {
		const group = new ConsensusGroup(folder, snapshotInterval);
		await group.bootstrap();
		const {leader} = group;
		for (let proposed = 0; proposed < entries; proposed += 500) {
			// eslint-disable-next-line no-await-in-loop -- bounded number of proposals in flight
			await Promise.all(Array.from({length: 500}, async () => leader.propose(command)));
		}

		const [host] = [...group.members].find(([, member]) => member !== leader)!;
		group.members.get(host)!.dispose();
		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
		const start = performance.now();
		const member = await group.start(host);
		const loaded = performance.now();
		await group.waitFor(() => member.appliedIndex >= leader.appliedIndex);
		console.log(JSON.stringify({
			entries, snapshotInterval, loadMs: Math.round(loaded - start), caughtUpMs: Math.round(performance.now() - start),
		}));
		group.dispose();
	});
}

const root = process.argv[2] ?? tmpdir();
await measureIdle(root);
for (const clients of [1, 16, 64, 256, 1024, 4096]) {
	// eslint-disable-next-line no-await-in-loop -- one measurement at a time
	console.log(JSON.stringify(await measureCommits(root, clients)));
}

for (const [entries, snapshotInterval] of [[500, 10_000], [50_000, 1e9], [50_000, 10_000]] as const) {
	// eslint-disable-next-line no-await-in-loop -- one measurement at a time
	await measureRestart(root, entries, snapshotInterval);
}
