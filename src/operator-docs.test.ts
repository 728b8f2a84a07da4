import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, it} from 'vitest';
import {exitCode} from './cli/exit-code.js';

const root = import.meta.dirname;
const docs = path.join(root, '..', 'docs', 'operators');
const counters = readFileSync(path.join(docs, 'counters.md'), 'utf8');
const commands = readFileSync(path.join(docs, 'commands.md'), 'utf8');
const files = readdirSync(root, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'));

/** Finds the emitted metrics in a source text. Placeholders such as `${action}` become `*`. */
function metricsIn(text: string): Array<{kind: string; name: string}> {
	const calls = text.matchAll(/[cC]ounters\??\.(?<kind>increment|gauge|timing)\(\s*(?<argument>[^,\)]+)/gv);
	return [...calls].map(({groups}) => {
		const literal = /^['`](?<name>[^'`]+)['`]$/v.exec(groups!.argument!.trim());
		return {kind: groups!.kind!, name: literal ? literal.groups!.name!.replaceAll(/\$\{[^\}]+\}/gv, '*') : `not a literal: ${groups!.argument!}`};
	});
}

/** Parses the table of metrics in a page. */
function documented(text: string): Array<{kind: string; name: string; unit: string; meaning: string}> {
	return [...text.matchAll(/^\| `(?<name>[^`]+)` \| (?<kind>\w+) \| (?<unit>[^\|]+) \| (?<meaning>[^\|]+) \|/gmv)].map(({groups}) => ({
		name: groups!.name!, kind: groups!.kind!, unit: groups!.unit!.trim(), meaning: groups!.meaning!.trim(),
	}));
}

const kindNames: Readonly<Record<string, string>> = {increment: 'counter', gauge: 'gauge', timing: 'timing'};

// Guards against undocumented metrics, and against documentation of metrics that no longer exist.
it('documents every metric that the sources emit, and no other', () => {
	const emitted = files.filter(file => file.startsWith('common') || file.startsWith('daemon') || file.startsWith('node')).flatMap(file => metricsIn(readFileSync(path.join(root, file), 'utf8')));
	const wanted = emitted.map(({kind, name}) => `${kindNames[kind]} ${name}`);
	expect(wanted.length).toBeGreaterThan(10);
	const rows = documented(counters);
	expect([...new Set(rows.map(({kind, name}) => `${kind} ${name}`))].sort()).toEqual([...new Set(wanted)].sort());
	expect(rows.every(({unit, meaning}) => unit.length > 2 && meaning.length > 20)).toBe(true);
});

// Guards against a search that finds no metrics.
it.each([
	['counters.increment(\'a.b\', 1)', 'a.b'],
	// eslint-disable-next-line no-template-curly-in-string -- text of a source
	['this._services.counters.timing(\n\t`a.\u0024{kind}`, 3)', 'a.*'],
	['counters.gauge(name)', 'not a literal: name'],
])('finds the metric in %j', (text, name) => {
	expect(metricsIn(text).map(metric => metric.name)).toEqual([name]);
});

// Guards against commands and exit codes without a description or an example.
it('documents every command with an example and every exit code', () => {
	const source = readFileSync(path.join(root, 'cli', 'cli.ts'), 'utf8');
	const names = [...source.matchAll(/cli\.command\('(?<name>[a-z\-]+)/gv)].map(({groups}) => groups!.name!);
	expect(names.length).toBeGreaterThan(15);
	for (const name of names) {
		const text = commands.split(/^## /mv).find(part => part.startsWith(`\`catkinbeam ${name}`)) ?? '';
		expect([name, text]).toEqual([name, expect.stringMatching(/```\n\$ catkinbeam [^`]+```[\s\S]*Exit codes: 0/v)]);
	}

	for (const [name, code] of Object.entries(exitCode)) {
		expect([name, commands]).toEqual([name, expect.stringMatching(new RegExp(`^\\| ${code} \\| `, 'mv'))]);
	}
});
