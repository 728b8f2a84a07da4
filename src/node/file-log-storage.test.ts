import {mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {openFileLogStorage} from './file-log-storage.js';

let folder: string;

beforeEach(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'log-storage-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

// Guards against differences between the real file system and the in-memory disk of the other tests.
it('reads back records from real files', async () => {
	const logFolder = path.join(folder, 'nested', 'control');
	const storage = await openFileLogStorage(logFolder);
	expect(await storage.load()).toMatchObject({identity: undefined, entries: []});
	await storage.initialize('a-1');
	await storage.write({
		term: 2, vote: 'a-1', commitIndex: 0, groupId: 'g', entries: [{index: 1, term: 1}, {index: 2, term: 2, command: 'x'}],
	});
	await storage.saveSnapshot({
		index: 1, term: 1, members: [], state: '[]',
	});
	await storage.close();

	const reopened = await openFileLogStorage(logFolder);
	expect(await reopened.load()).toMatchObject({
		identity: 'a-1', groupId: 'g', term: 2, vote: 'a-1', snapshot: {index: 1, state: '[]'}, entries: [{index: 2, command: 'x'}],
	});
	await reopened.close();
	expect(await readdir(logFolder)).toHaveLength(2);
	await expect(reopened.write({term: 2, commitIndex: 0, entries: []})).rejects.toMatchObject({code: 'storage-failed'});
});

// Guards against a control host that ends because it takes a snapshot while it receives one from the leader or sends one.
it('saves and reads snapshots at the same time', async () => {
	const folder = await mkdtemp(path.join(tmpdir(), 'catkinbeam-'));
	try {
		const storage = await openFileLogStorage(folder);
		await storage.load();
		await storage.initialize('a');
		for (let index = 0; index < 40; index += 4) {
			const save = async (offset: number, size: number) => storage.saveSnapshot({
				index: index + offset, term: 1, members: [], state: 'x'.repeat(size),
			});
			await Promise.all([save(1, 4_000_000), save(2, 400_000), storage.readSnapshot(), save(3, 10), storage.readSnapshot()]); // eslint-disable-line no-await-in-loop -- one round after the other
			expect(await storage.readSnapshot()).toMatchObject({index: index + 3}); // eslint-disable-line no-await-in-loop -- as above
		}

		await storage.close();
	} finally {
		await rm(folder, {recursive: true, force: true});
	}
});
