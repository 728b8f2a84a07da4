import {expect, it} from 'vitest';
import {runCli} from './cli.js';
import {exitCode} from './exit-code.js';

const document = {service: 'notes', versions: ['small@1'], customers: [{name: 'acme', keySha256: 'a'.repeat(64)}]};
const twice = {...document, customers: [...document.customers, {name: 'globex', keySha256: 'a'.repeat(64)}]};

// Guards against a document that is refused later although the check found no error, and against scripts that cannot tell the two apart.
it.each<{name: string; text: string; code: number; issues: Array<{level: string; line: number; path: string}>}>([
	{
		name: 'a valid document', text: JSON.stringify(document), code: exitCode.ok, issues: [],
	},
	{
		name: 'a part without effect', text: JSON.stringify(twice, undefined, 1), code: exitCode.ok, issues: [{level: 'warning', line: 13, path: 'customers[1].keySha256'}],
	},
	{
		name: 'two errors', text: 'service: Notes\nversions: [small@1]\ncustomers: []\n', code: exitCode.invalid,
		issues: [{level: 'error', line: 1, path: 'service'}, {level: 'error', line: 3, path: 'customers'}],
	},
	{
		name: 'no YAML', text: 'service: [notes\n', code: exitCode.invalid, issues: [{level: 'error', line: 2, path: ''}],
	},
])('prints the issues as JSON: $name', async ({text, code, issues}) => {
	const out: string[] = [];
	const result = await runCli(['check', 'notes.yaml', '--json'], {
		env: {},
		line: line => out.push(line),
		errorLine: () => undefined,
		readFile: async () => text,
		writeFile: async () => undefined,
		wait: async () => undefined,
		newChangeId: () => 'id',
	});
	expect(result).toBe(code);
	expect(JSON.parse(out.join('\n'))).toMatchObject({isValid: code === exitCode.ok, issues});
});
