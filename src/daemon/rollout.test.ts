import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';
import {parseDocument} from '../common/documents/parse-document.js';
import {sha256} from './caller-headers.js';

let system: EmbeddedSystem;

afterEach(async () => {
	await system.stop();
});

const document = `service: summaries
customers: [{name: coralvent, keySha256: ${sha256('rollout-key')}}]
versions: [small@1, small@2]
quality: {target: 0}
rollout: {from: small@1, to: small@2, steps: [50, 100], stepSeconds: 0.5, minRated: 10}
`;

/** Starts two engines that can load the new version, and submits a document with a roll-out. */
async function startRollout(skill: number): Promise<void> {
	const engine = {
		ref: 'small@1', skill: 0.95, inputCost: 1, outputCost: 2, answerTokens: 4, loadable: new Map([['small@2', skill]]), loadMs: 50,
	};
	system = await EmbeddedSystem.start({engines: [{id: 'a', ...engine}, {id: 'b', ...engine}], flags: {loadIntervalSeconds: '0.2'}});
	const {status} = await system.daemons[0]!.host.control.client.submit(parseDocument(document), {changeId: 'rollout'});
	expect(status).toBe('accepted');
}

/** Sends requests until the roll-out has ended. @returns the versions that answered. */
async function sendUntilEnd(limitMs: number): Promise<string[]> {
	const versions: string[] = [];
	const end = Date.now() + limitMs;
	const phase = () => system.daemons[0]!.host.control.follower.view.rollouts.get('summaries')?.phase;
	while (phase() !== 'completed' && phase() !== 'rolled-back' && Date.now() < end) {
		// eslint-disable-next-line no-await-in-loop -- a few requests at a time
		versions.push(...await Promise.all(Array.from({length: 8}, async (_, index) => send(`${versions.length + index}`))));
		// eslint-disable-next-line no-await-in-loop -- pause between requests
		await wait(20);
	}

	return versions;
}

async function send(text: string): Promise<string> {
	const res = await fetch(`${system.callerUrl()}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: 'Bearer rollout-key', 'content-type': 'application/json'},
		body: JSON.stringify({model: 'summaries', messages: [{role: 'user', content: `question ${text}`}]}),
	});
	await res.text();
	return res.headers.get('catkinbeam-version') ?? `status ${res.status}`;
}

// Guards against a bad version that continues to receive traffic.
it('rolls back a bad version and quarantines it', async () => {
	await startRollout(0);
	const versions = await sendUntilEnd(60_000);
	const {view} = system.daemons[0]!.host.control.follower;
	expect(view.rollouts.get('summaries')!.phase).toBe('rolled-back');
	expect([...view.quarantines]).toMatchObject([{service: 'summaries', ref: 'small@2'}]);
	// Three times the 44 rated answers that Wald's sequential test expects at the error rates in use, because single runs vary.
	expect(versions.filter(ref => ref === 'small@2').length).toBeLessThan(132);
	expect(await send('after the roll-back')).toBe('small@1');
});
