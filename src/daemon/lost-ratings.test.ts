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

/** Duration in milliseconds of the outage of the rating service. */
const outageMs = 400;
/** Time in milliseconds within which the roll-out must be completed. */
const completionTimeoutMs = 30_000;

// Guards against a roll-out that stops for 15 minutes after a short outage of the rating service: answers whose ratings
// were lost count towards the cap on unrated answers until their rating times out, so the new version gets no requests.
it('continues a roll-out after an outage of the rating service', async () => {
	const engine = {
		ref: 'small@1', skill: 0.95, inputCost: 1, outputCost: 2, answerTokens: 4, loadable: new Map([['small@2', 0.95]]), loadMs: 50,
	};
	system = await EmbeddedSystem.start({engines: [{id: 'a', ...engine}, {id: 'b', ...engine}], flags: {loadIntervalSeconds: '0.2'}});
	const {control} = system.daemons[0]!.host;
	const state = () => control.follower.view.rollouts.get('summaries');
	const {status} = await control.client.submit(parseDocument(document), {changeId: 'rollout'});
	expect(status).toBe('accepted');

	const outage = (async () => {
		while (state()?.percentage !== 50) {
			await wait(5); // eslint-disable-line no-await-in-loop -- polls the state of the roll-out
		}

		system.ratings.isDown = true;
		await wait(outageMs);
		system.ratings.isDown = false;
	})();

	const end = Date.now() + completionTimeoutMs;
	for (let sent = 0; state()?.phase !== 'completed' && Date.now() < end; sent += 8) {
		// eslint-disable-next-line no-await-in-loop -- a few requests at a time
		await Promise.all(Array.from({length: 8}, async (_, index) => send(`question ${sent + index}`)));
		await wait(20); // eslint-disable-line no-await-in-loop -- pause between requests
	}

	await outage;
	expect(state()).toMatchObject({phase: 'completed', percentage: 100});
});

async function send(content: string): Promise<void> {
	const res = await fetch(`${system.callerUrl()}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: 'Bearer rollout-key', 'content-type': 'application/json'},
		body: JSON.stringify({model: 'summaries', messages: [{role: 'user', content}]}),
	});
	await res.text();
}
