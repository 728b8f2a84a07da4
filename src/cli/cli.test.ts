/* eslint-disable @typescript-eslint/naming-convention -- names of environment variables */
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {EmbeddedCaller, until} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';
import {type BurnSummary} from '../common/burn/burn-report.js';
import {type SystemReport} from '../common/status/system-report.js';
import {runCli} from './cli.js';
import {exitCode} from './exit-code.js';

const secret = 'operator-secret-1';
const secrets = {
	CATKINBEAM_OPERATOR_SECRET: secret, CATKINBEAM_BACKEND_SECRET: 'backend-secret-12', CATKINBEAM_PEER_SECRET: 'peer-secret-12345',
};
let system: EmbeddedSystem;
let good: EmbeddedCaller;
let bad: EmbeddedCaller;
let requestId: string;
const files = new Map<string, string>();

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		// Version slow@2 takes 150 ms for a token; the objective allows 100 ms.
		engines: [{id: 'small', ref: 'small@1', stepMs: 2}, {id: 'slow', ref: 'slow@2', stepMs: 150}].map(engine => ({
			...engine, skill: 1, inputCost: 1, outputCost: 1, answerTokens: 4,
		})),
		daemons: 4,
		secrets,
	});
	good = new EmbeddedCaller(system, 'key-of-acme', 3);
	bad = new EmbeddedCaller(system, 'key-of-globex', 3);
	const document = {
		service: 'notes',
		versions: ['small@1', 'slow@2'],
		customers: [{name: 'acme', keySha256: good.keySha256}, {name: 'globex', keySha256: bad.keySha256}],
		objectives: [{betweenTokensMs: 100, goodShare: 0.9}, {exposure: true, goodShare: 0.99}, {urgency: 'urgent', refusals: true, goodShare: 0.99}],
	};
	await good.submit(document, secret);
	files.set('good.json', JSON.stringify(document));
	files.set('stale.json', JSON.stringify({...document, urgency: 'batch'}));
	files.set('broken.yaml', 'service: [notes\nversions: }');
	files.set('hidden.yaml', JSON.stringify({...document, objectives: [{firstTokenMs: 60_000, goodShare: 0.9}]}));
	files.set('other-service.json', JSON.stringify({...document, service: 'other'}));
	files.set('unknown-field.yaml', `${JSON.stringify({...document, colour: 'red'})}`);
	files.set('two-objectives.yaml', JSON.stringify({...document, objectives: [{refusals: true, goodShare: 0.9}, {refusals: true, goodShare: 0.99}]}));
	files.set('mixed-objective.yaml', JSON.stringify({...document, objectives: [{refusals: true, minRating: 0.5, goodShare: 0.9}]}));
	await Promise.all(Array.from({length: 12}, async () => good.chat({model: 'small@1', stream: true})));
	const replies = await Promise.all(Array.from({length: 8}, async () => bad.chat({model: 'slow@2', stream: true})));
	requestId = String(replies[0]!.headers['catkinbeam-request-id']);
});
afterAll(async () => system.stop());

type Run = {code: number; out: string; err: string};

async function run(line: string, options: {server?: string; env?: Readonly<Record<string, string>>} = {}): Promise<Run> {
	const out: string[] = [];
	const err: string[] = [];
	const code = await runCli(line.split(' ').filter(word => word !== '').map(word => word.replace('REQUEST', requestId)), {
		env: {CATKINBEAM_OPERATOR_SECRET: secret, CATKINBEAM_SERVER: options.server ?? system.controlUrl(), ...options.env},
		line(text) {
			out.push(text);
		},
		errorLine(text) {
			err.push(text);
		},
		async readFile(name) {
			const text = files.get(name);
			if (text === undefined) {
				throw Object.assign(new Error(`ENOENT: no such file, open '${name}'`), {code: 'ENOENT'});
			}

			return text;
		},
		async writeFile(name, text) {
			files.set(name, text);
		},
		async wait() {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		},
		newChangeId: () => `change-${line}`,
	});
	return {code, out: out.join('\n'), err: err.join('\n')};
}

async function burn(): Promise<BurnSummary> {
	const {out} = await run('report burn --json');
	return JSON.parse(out) as BurnSummary;
}

// Guards against commands that fail on a healthy system or do not print what was asked for.
it.each([
	{line: 'validate good.json', shows: 'is valid'},
	{line: 'diff good.json', shows: 'SUBMITTED'},
	{line: 'check good.json', shows: 'the document of notes is valid, no warnings'},
	{line: 'check hidden.yaml', shows: 'objectives[0].firstTokenMs'},
	{line: 'check good.json --against', shows: 'no difference from the document in force'},
	{line: 'check stale.json --against', shows: 'urgency  normal   batch'},
	{line: 'check other-service.json --against', shows: 'service'},
	{line: 'show', shows: 'notes'},
	{line: 'show notes', shows: '"betweenTokensMs"'},
	{line: 'entries', shows: 'entry-3'},
	{line: 'backends', shows: 'slow@2'},
	{line: 'versions', shows: 'small@1'},
	{line: 'bills', shows: 'globex'},
	{line: 'bills --customer acme --limit 2', shows: 'acme'},
	{line: 'unknown', shows: 'REQUESTID'},
	{line: 'totals', shows: 'globex'},
	{line: 'session-changes', shows: 'SESSION'},
	{line: 'status', shows: 'lease valid'},
	{line: 'status --all', shows: 'control leader: entry-'},
	{line: 'status --all', shows: 'draining entry hosts: none'},
	{line: 'status --all', shows: 'requests with unknown outcome: none'},
	{line: 'rollouts', shows: 'PERCENTAGE'},
	{line: 'quarantines', shows: 'REASON'},
	{line: 'evacuations', shows: 'SINCE'},
	{line: 'explain REQUEST', shows: 'slow@2, accepted in any case'},
	{line: 'explain REQUEST', shows: 'at entry host entry-3'},
	{line: 'explain REQUEST', shows: 'bill: answered by slow@2'},
	{line: 'report burn', shows: 'between-tokens'},
	{line: 'report burn --html page.html', shows: 'wrote page.html'},
])('$line', async ({line, shows}) => {
	const {code, out, err} = await run(line);
	expect([code, err]).toEqual([exitCode.ok, '']);
	expect(out).toContain(shows);
});

// Guards against usage errors that print a stack trace, several lines or nothing, or return the wrong exit code.
it.each([
	{line: '', code: exitCode.usage, says: 'no command given'},
	{line: 'dance', code: exitCode.usage, says: 'unknown command dance'},
	{line: 'status --colour', code: exitCode.usage, says: '--colour'},
	{line: 'bills --limit many', code: exitCode.usage, says: '--limit'},
	{line: 'in-force soon', code: exitCode.usage, says: 'soon is not a revision'},
	{line: 'explain', code: exitCode.usage, says: 'explain'},
	{line: 'report weather', code: exitCode.usage, says: 'no report weather'},
	{line: 'validate missing.json', code: exitCode.usage, says: 'missing.json'},
	{line: 'validate broken.yaml', code: exitCode.invalid, says: 'broken.yaml'},
	{line: 'validate unknown-field.yaml', code: exitCode.invalid, says: 'colour'},
	{line: 'validate two-objectives.yaml', code: exitCode.invalid, says: 'a second objective refusals'},
	{line: 'validate mixed-objective.yaml', code: exitCode.invalid, says: 'objectives[0]'},
	{line: 'check missing.json', code: exitCode.usage, says: 'missing.json'},
	{line: 'check broken.yaml', code: exitCode.invalid, says: 'broken.yaml has 2 errors'},
	{line: 'check unknown-field.yaml', code: exitCode.invalid, says: '1 error'},
	{
		line: 'check good.json --against', code: exitCode.unreachable, says: 'no reply from', server: 'http://127.0.0.1:1',
	},
	{line: 'submit broken.yaml', code: exitCode.invalid, says: 'broken.yaml'},
	{line: 'submit stale.json --base 1', code: exitCode.conflict, says: 'was changed at revision'},
	{line: 'withdraw notes other@1', code: exitCode.notFound, says: 'other@1 is not a version'},
	{line: 'remove other', code: exitCode.notFound, says: 'no service other'},
	{line: 'show other', code: exitCode.notFound, says: 'no service other'},
	{line: 'session acme notes none', code: exitCode.notFound, says: 'none has no version'},
	{line: 'explain entry-9.unknown', code: exitCode.notFound, says: 'no bill of entry-9.unknown'},
	{line: 'lift notes short small@1', code: exitCode.notFound, says: 'no quarantine of small@1'},
	{line: 'evacuate elsewhere', code: exitCode.notFound, says: 'in the zone elsewhere'},
	{line: 'end-evacuation elsewhere --wait', code: exitCode.notFound, says: 'in the zone elsewhere'},
	{line: 'evacuate', code: exitCode.usage, says: 'evacuate'},
	{line: 'in-force 999999 --timeout 1', code: exitCode.notInForce, says: 'not in force after 1 s'},
	{
		line: 'status', code: exitCode.unreachable, says: 'no reply from', server: 'http://127.0.0.1:1',
	},
	{
		line: 'report burn', code: exitCode.unreachable, says: 'no reply from', server: 'http://127.0.0.1:1',
	},
	{
		line: 'status', code: exitCode.usage, says: 'is not a URL', server: 'nowhere',
	},
	{
		line: 'status', code: exitCode.unauthorized, says: 'refused the operator secret', env: {CATKINBEAM_OPERATOR_SECRET: 'wrong'},
	},
	{
		line: 'explain REQUEST', code: exitCode.unauthorized, says: 'refused the operator secret', env: {CATKINBEAM_OPERATOR_SECRET: 'wrong'},
	},
])('refuses "$line" with exit code $code', async ({line, code, says, server, env}) => {
	const result = await run(line, {server, env});
	expect([result.code, result.err]).toEqual([code, expect.stringContaining(says)]);
	expect(result.err).toMatch(/^catkinbeam: [^\n]+$/v);
	expect(result.err).not.toMatch(/undefined|\[object|\.\. /v);
});

// Guards against a burn report that does not name the version and the customer that consume the error budget.
it('reports a slow version and its customer as the top causes', async () => {
	let row: BurnSummary['rows'][number] | undefined;
	await until(async () => {
		const {rows} = await burn();
		row = rows.find(({objective}) => objective === 'between-tokens');
		return row?.total === 20;
	});
	expect(row).toMatchObject({
		// A burn rate of 4 exceeds only the limit of the slow alert, which is 3.
		bad: 8, alerts: ['slow'], versions: [{name: 'slow@2', bad: 8, share: 1}], customers: [{name: 'globex', bad: 8, share: 1}],
	});
	expect(row!.rates['5m']).toBeCloseTo(4, 6);
	const {out} = await run('report burn --html burn.html');
	const page = files.get('burn.html')!;
	expect([out, page]).toEqual(['wrote burn.html', expect.stringContaining('slow@2 100%')]);
	expect(page.match(/<svg/gv)).toHaveLength(6);
	expect(page).not.toMatch(/NaN|undefined|<script|https?:/v);
});

// Guards against answers that count as good although their version is withdrawn shortly after them.
it('counts the answers of a withdrawn version as exposed', async () => {
	expect(await run('withdraw notes slow@2 --wait')).toMatchObject({code: exitCode.ok, err: ''});
	await until(async () => {
		const {rows} = await burn();
		return rows.some(({objective, bad}) => objective === 'exposure' && bad === 8);
	});
	const {rows} = await burn();
	expect(rows.find(({objective}) => objective === 'exposure')).toMatchObject({total: 20, alerts: ['fast', 'medium', 'slow'], versions: [{name: 'slow@2'}]});
	expect(rows.find(({objective}) => objective === 'urgent/refusals')).toMatchObject({total: 0, bad: 0, budgetLeft: 1});
});

// Guards against a quarantine that cannot be lifted or that is missing from the lists.
it('lifts a quarantine', async () => {
	const {follower} = system.daemons[0]!.host.control;
	await follower.propose({
		type: 'quarantine', service: 'notes', requestClass: 'short', ref: 'small@1', reason: 'planted by a test',
	});
	await until(async () => {
		const {out} = await run('quarantines');
		return out.includes('planted by a test');
	});
	expect(await run('lift notes short small@1')).toMatchObject({code: exitCode.ok, err: ''});
	await until(async () => {
		const {out} = await run('status --all');
		return out.includes('quarantines: none');
	});
});

// Guards against an evacuation that cannot be ordered, seen or withdrawn, and against one that is reported as in force before it is.
it('evacuates a zone and ends the evacuation', async () => {
	for (const [line, state] of [['evacuate zone-2 --wait', 'evacuated'], ['evacuate zone-2', 'evacuated'], ['end-evacuation zone-2 --wait', 'open']] as const) {
		/* eslint-disable no-await-in-loop -- one command after another */
		const {code, out, err} = await run(line);
		expect([code, err]).toEqual([exitCode.ok, '']);
		expect(out).toContain(line.includes('--wait') ? 'is in force at revision' : 'is accepted at revision');
		await until(async () => {
			const listed = await run('evacuations');
			return new RegExp(`zone-2 +${state} +\\d+ +20\\d\\d-`, 'v').test(listed.out);
		});
		/* eslint-enable no-await-in-loop */
	}
});

// Guards against an explanation that fails without the entry host that handled the request.
it('shows only the bill when the entry host has left', async () => {
	system.daemons[3]!.dispose();
	await until(async () => {
		const {out} = await run('status --all --json');
		const {entryHosts} = JSON.parse(out) as SystemReport;
		return entryHosts.every(({host}) => host !== 'entry-3');
	});
	const {code, out} = await run('explain REQUEST');
	expect([code, out]).toEqual([exitCode.ok, expect.stringContaining('The entry host entry-3 is gone')]);
	expect(out).toContain('bill: answered by slow@2');
}, 30_000);
