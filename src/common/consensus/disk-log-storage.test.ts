import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {MemoryDisk} from '../../testing/memory-disk.js';
import {DiskLogStorage} from './disk-log-storage.js';
import {type LogEntry} from './log-entry.js';
import {type StoredState} from './stored-state.js';

const segmentSize = 400;

function createDisk(seed = 1): MemoryDisk {
	return new MemoryDisk(new ManualClock(), new SeededRandom(seed));
}

async function open(disk: MemoryDisk, isArchiving = false): Promise<{storage: DiskLogStorage; stored: StoredState}> {
	const storage = new DiskLogStorage(disk.attach(), {segmentSize, isArchiving});
	return {storage, stored: await storage.load()};
}

function entry(index: number, term = 1): LogEntry {
	return {index, term, command: `command ${index} of term ${term}`};
}

/** Writes entries one by one, overwrites the tail, saves a snapshot and discards old segments. */
async function writeSampleLog(disk: MemoryDisk, onStep: (acknowledged: string[]) => void): Promise<void> {
	const {storage, stored} = await open(disk);
	if (!stored.identity) {
		await storage.initialize('a-1');
	}

	const log: string[] = [];
	const add = async (index: number, term: number) => {
		log.length = index - 1;
		log.push(`${index}@${term}`);
		await storage.write({
			term, vote: `v${term}`, commitIndex: 0, groupId: 'g', entries: [entry(index, term)],
		});
		onStep([...log]);
	};

	for (let index = 1; index <= 12; index++) {
		await add(index, 1); // eslint-disable-line no-await-in-loop -- one sync after another
	}

	await add(10, 2);
	await storage.saveSnapshot({
		index: 9, term: 1, members: [], state: '"s"',
	});
	await storage.discardUpTo(9);
	await add(11, 2);
	await add(12, 2);
}

function describeLog({base, entries}: StoredState): string[] {
	return [...Array.from({length: base.index}, (_, position) => `${position + 1}@1`), ...entries.map(({index, term}) => `${index}@${term}`)];
}

/** Runs until the disk crashes at the given operation, or to the end, and then cuts the power. */
async function runUntilCrash(disk: MemoryDisk, operation: number, run: () => Promise<unknown>): Promise<void> {
	await new Promise<void>(resolve => {
		disk.crashAfter(operation, resolve);
		void (async () => {
			await run();
			resolve();
		})();
	});
	disk.crash();
}

// Guards against lost acknowledged writes and unreadable folders after a power loss at any disk operation, also during the restart that follows.
it('keeps acknowledged writes after a crash at any disk operation', async () => {
	const reference = createDisk();
	const states: string[][] = [];
	await writeSampleLog(reference, log => states.push(log));
	expect(reference.operations).toBeGreaterThan(40);
	const cases = Array.from({length: reference.operations * 8}, (_, position) => ({operation: 1 + Math.floor(position / 8), seed: position}));
	for (const {operation, seed} of cases) {
		const disk = createDisk(seed);
		const acknowledged: string[][] = [];
		/* eslint-disable no-await-in-loop -- one crash after another */
		await runUntilCrash(disk, operation, async () => writeSampleLog(disk, log => acknowledged.push(log)));
		await runUntilCrash(disk, 1 + (seed % 4), async () => open(disk));
		const {stored} = await open(disk);
		/* eslint-enable no-await-in-loop */
		const doneCount = acknowledged.length;
		expect([states[doneCount - 1] ?? [], states[doneCount] ?? []], `operation ${operation}, seed ${seed}`).toContainEqual(describeLog(stored));
		expect(doneCount === 0 || stored.identity === 'a-1').toBe(true);
		expect(stored.term).toBeGreaterThanOrEqual(doneCount > 12 ? 2 : Math.min(doneCount, 1));
		expect(stored.vote).toBe(stored.term === 0 ? undefined : `v${stored.term}`);
	}
});

async function createLog(entries = 8): Promise<MemoryDisk> {
	const disk = createDisk();
	const {storage} = await open(disk);
	await storage.initialize('a-1');
	for (let index = 1; index <= entries; index++) {
		// eslint-disable-next-line no-await-in-loop -- one sync after another
		await storage.write({term: 1, commitIndex: index - 1, entries: [entry(index)]});
	}

	return disk;
}

// Guards against a host that fails to start after a torn write, or that serves a damaged log.
it.each<[string, (disk: MemoryDisk, names: string[]) => void, number | string]>([
	['nothing', () => undefined, 20],
	['the last byte', (disk, names) => {
		disk.damage(names.at(-1)!, -1);
	}, 19],
	['the last record, in its middle', (disk, names) => {
		disk.damage(names.at(-1)!, -30);
	}, 19],
	['the start of the last file', (disk, names) => {
		disk.damage(names.at(-1)!, 2);
	}, 'log-corrupt'],
	['the length of a record before the last', (disk, names) => {
		disk.damage(names.at(-1)!, 4);
	}, 'log-corrupt'],
	['the end of the first file', (disk, names) => {
		disk.damage(names[0]!, -1);
	}, 'log-corrupt'],
	['a whole file in the middle', (disk, names) => {
		const image = disk.image();
		image.delete(names[1]!);
		disk.restoreImage(image);
	}, 'log-corrupt'],
	['the first file', (disk, names) => {
		const image = disk.image();
		image.delete(names[0]!);
		disk.restoreImage(image);
	}, 'log-corrupt'],
])('reads the intact log or reports corruption after damage to %s', async (_, damage, expected) => {
	const disk = await createLog(20);
	const names = [...disk.image().keys()].sort();
	expect(names.length).toBeGreaterThan(2);
	damage(disk, names);
	let outcome: number | string;
	try {
		const {stored} = await open(disk);
		outcome = stored.entries.length;
	} catch (error) {
		outcome = (error as {code: string}).code;
	}

	expect(outcome).toBe(expected);
});

// Guards against frames that are appended after a torn frame and can therefore never be read.
it('appends to the log after truncating a torn tail', async () => {
	const disk = await createLog();
	disk.damage([...disk.image().keys()].sort().at(-1)!, -1);
	const {storage} = await open(disk);
	await storage.write({term: 2, commitIndex: 0, entries: [entry(8, 2), entry(9, 2)]});
	const {stored} = await open(disk);
	expect(stored.entries.map(({term}) => term)).toEqual([1, 1, 1, 1, 1, 1, 1, 2, 2]);
});

// Guards against a retry of a failed sync, which may report success although the data is lost.
it('refuses all writes after a failed sync', async () => {
	const disk = await createLog();
	const {storage} = await open(disk);
	disk.failSync();
	await expect(storage.write({term: 1, commitIndex: 0, entries: [entry(9)]})).rejects.toMatchObject({code: 'storage-failed'});
	await expect(storage.write({term: 1, commitIndex: 0, entries: [entry(9)]})).rejects.toMatchObject({code: 'storage-failed'});
});

// Guards against entries of an old log that are kept although a received snapshot does not match that log.
it.each([[3, 1, 5], [3, 9, 0], [20, 1, 0]])('continues after a received snapshot at %i of term %i', async (index, term, kept) => {
	const disk = await createLog();
	const {storage} = await open(disk);
	await storage.saveSnapshot({
		index, term, members: [], state: '1',
	});
	const first = await open(disk);
	expect(first.stored.entries.filter(item => item.index > index)).toHaveLength(kept);
	const next = index + kept + 1;
	await first.storage.write({term: 9, commitIndex: index, entries: [entry(next, 9)]});
	const second = await open(disk);
	expect(second.stored.entries.at(-1)).toMatchObject({index: next, term: 9});
	expect(second.stored.entries.filter(item => item.index > index)).toHaveLength(kept + 1);
});

// Guards against gaps in the archive, and against archived segments that are read as part of the log.
it('archives discarded segments if configured', async () => {
	const disk = await createLog(20);
	const before = [...disk.image().values()];
	const {storage} = await open(disk, true);
	await storage.saveSnapshot({
		index: 12, term: 1, members: [], state: '1',
	});
	await storage.discardUpTo(12);
	const archived = [...disk.image()].filter(([name]) => name.startsWith('archive-'));
	expect(archived.length).toBeGreaterThan(1);
	expect(archived.map(([, bytes]) => bytes)).toEqual(before.slice(0, archived.length));
	const {stored} = await open(disk, true);
	expect(stored.entries.at(-1)).toMatchObject({index: 20});
});
