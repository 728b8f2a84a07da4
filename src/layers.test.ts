import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, it} from 'vitest';

const root = import.meta.dirname;

/** Folders from which each folder may import. A folder may always import from itself. */
const allowed: Record<string, readonly string[]> = {
	common: [],
	node: ['common'],
	emulator: ['common', 'node'],
	testing: ['common'],
	daemon: ['common', 'node'],
	cli: ['common', 'node'],
	quickstart: ['common', 'node', 'emulator', 'daemon', 'cli'],
	experiment: ['common', 'node', 'emulator', 'testing'],
	faults: ['common', 'node', 'emulator', 'testing', 'daemon'],
	soak: ['common'],
};

/** Order of the folders of `common`. A folder may import only from itself and the folders before it. */
const commonOrder = ['base', 'documents', 'rollout', 'consensus', 'control', 'ledger', 'orders', 'evidence', 'routing', 'admission', 'burn', 'status', 'entry', 'forwarding', 'speeds', 'release', 'crashes', 'host'];

const files = readdirSync(root, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts') && file.includes(path.sep));

function importsOf(file: string): string[] {
	const text = readFileSync(path.join(root, file), 'utf8');
	return [...text.matchAll(/from '(?<target>[^']+)'/gv)].map(match => match.groups!.target!);
}

function violations(file: string, targets: readonly string[]): string[] {
	const [folder, part] = file.split(path.sep) as [string, string];
	return targets.flatMap(target => {
		if (!target.startsWith('.')) {
			return folder === 'common' && target.startsWith('node:') ? [`${file} imports ${target}`] : [];
		}

		const [otherFolder, otherPart] = path.normalize(path.join(path.dirname(file), target)).split(path.sep) as [string, string];
		if (otherFolder !== folder) {
			return allowed[folder]?.includes(otherFolder) ? [] : [`${file} imports ${target}`];
		}

		return folder === 'common' && commonOrder.indexOf(otherPart) > commonOrder.indexOf(part) ? [`${file} imports ${target}`] : [];
	});
}

// Guards against imports from higher layers, and of Node modules in `common`, which must not depend on the platform.
it('imports only from lower layers', () => {
	expect(files.length).toBeGreaterThan(20);
	expect(files.flatMap(file => violations(file, importsOf(file)))).toEqual([]);
});

it.each([
	['common/base/a.ts', 'node:fs'],
	['common/base/a.ts', '../control/b.js'],
	['common/base/a.ts', '../../node/b.js'],
	['node/a.ts', '../daemon/b.js'],
])('reports the violation %s importing %s', (file, target) => {
	expect(violations(file, [target])).toHaveLength(1);
});
