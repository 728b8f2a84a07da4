import {Agent, request} from 'undici';
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {type EntryListReply} from '../common/control/entry-list.js';
import {EmbeddedCaller, until} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';

let system: EmbeddedSystem;
let caller: EmbeddedCaller;

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		engines: [{
			id: 'one', ref: 'slow@1', skill: 1, inputCost: 1, outputCost: 1, stepMs: 10, answerTokens: 400,
		}],
		daemons: 3,
		flags: {keepSeconds: '2'},
	});
	caller = new EmbeddedCaller(system, 'drain-key', 2);
	await caller.submit({service: 'notes', versions: ['slow@1']});
});
afterAll(async () => system.stop());

async function entries(daemon: number, query: string): Promise<EntryListReply> {
	const res = await request(`${system.callerUrl(daemon)}/v1/entries${query}`);
	return await res.body.json() as EntryListReply;
}

const namesOf = ({entries}: EntryListReply) => entries.map(({host}) => host);

// Guards against callers that all use the same host, or a host outside their availability zone.
it('lists entry hosts of the same zone first and spreads callers over the others', async () => {
	await until(async () => {
		const all = await entries(0, '');
		return all.entries.length === 3;
	});
	const secondHosts = new Set<string>();
	for (let index = 0; index < 20; index++) {
		// eslint-disable-next-line no-await-in-loop -- one list after another
		const [first, second] = namesOf(await entries(index % 3, `?zone=zone-1&caller=caller-${index}`));
		expect(first).toBe('entry-1');
		secondHosts.add(second!);
	}

	expect([...secondHosts].toSorted()).toEqual(['entry-0', 'entry-2']);
	const reply = await entries(0, '?caller=a');
	expect(namesOf(await entries(1, '?caller=a&zone=zone-0'))).toEqual(namesOf(reply));
	expect(reply.keepSeconds).toBe(2);
});

// Guards against a graceful shutdown that interrupts a stream, refuses a caller with a valid list, or ends with an error.
it('drains without interrupting a request', async () => {
	const daemon = system.daemons[2]!;
	const stops: Array<Error | undefined> = [];
	daemon.onStopped(error => {
		stops.push(error);
	});
	const agent = new Agent({keepAliveTimeout: 60_000, connections: 1});
	const idleReply = await request(`${system.callerUrl(2)}/v1/entries`, {dispatcher: agent});
	await idleReply.body.dump();
	expect(idleReply.headers.connection).toBe('keep-alive');
	const stream = caller.chat({model: 'notes', stream: true});
	await until(() => system.engines.get('one')!.executed.length === 1);
	const draining = daemon.drain();
	await until(async () => !namesOf(await entries(0, '')).includes('entry-2') && !namesOf(await entries(1, '')).includes('entry-2'));
	expect(daemon.status.draining).toBe(true);
	// Callers still have the host in their cached lists, so it must serve them.
	const lateReply = await caller.chat({model: 'notes', max_completion_tokens: 2}); // eslint-disable-line @typescript-eslint/naming-convention -- published interface
	expect(lateReply.status).toBe(200);
	const answer = await stream;
	expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
	expect(answer.text).toContain('word399');
	await until(async () => {
		const res = await request(`${system.callerUrl(2)}/v1/entries`, {dispatcher: agent});
		await res.body.dump();
		return res.headers.connection === 'close';
	});
	await draining;
	expect(stops).toEqual([undefined]);
	await agent.close();
	const otherCaller = new EmbeddedCaller(system, 'drain-key', 0);
	const reply = await otherCaller.chat({model: 'notes', max_completion_tokens: 2}); // eslint-disable-line @typescript-eslint/naming-convention -- published interface
	expect(reply.status).toBe(200);
});
