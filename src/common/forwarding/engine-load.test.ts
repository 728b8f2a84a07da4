import {expect, it} from 'vitest';
import {createForwarderFixture} from '../../testing/forwarder-fixture.js';
import {answerHead} from '../../testing/scripted-port.js';
import {EngineLoad} from './engine-load.js';
import {ModelSpeeds} from './model-speeds.js';

const generation = {
	model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [],
};

// Guards against a load that is not measured with the requests of the forwarder, and against a change where the option is not set.
it.each([
	{followsLoad: false, decision: /^kept-at-30:first-\d+ms:last-\d+ms$/v},
	{followsLoad: true, decision: /^larger-asked-at-30:first-\d+ms:last-\d+ms:load-1.\d$/v},
])('notes $decision after a burst with followsLoad $followsLoad', async ({followsLoad, decision}) => {
	const {clock, port, logger, send} = createForwarderFixture('stream', {models: ['small', 'large']}, undefined, {speeds: new ModelSpeeds(followsLoad)});
	const ask = async (confidence: number, smallMs: number) => {
		port.attempts.length = 0;
		send({generation});
		await clock.advance(smallMs);
		port.attempts[0]!.events.onHead(answerHead({confidence}));
		const answered = port.attempts.at(-1)!;
		if (port.attempts.length > 1) {
			await clock.advance(440);
			answered.events.onHead(answerHead({confidence: 90}));
		}

		answered.events.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
		answered.events.onEnd();
	};

	const calm = Array.from({length: 10}, () => 10);
	for (const [confidence, smallMs] of [...calm.map(ms => [90, ms] as const), [90, 100], [90, 100], [5, 100], ...calm.map(ms => [90, ms] as const)]) {
		await ask(confidence, smallMs); // eslint-disable-line no-await-in-loop -- one request after the other
	}

	await clock.advance(2000);
	await ask(30, 10);
	expect((logger.of('request finished').at(-1)!.trail as string[]).find(step => step.includes('-at-30:first'))).toMatch(decision);
});

// Guards against a load that stays after the last answer, and against single slow answers that count as a load.
it('estimates the load from several answers and forgets it', () => {
	const load = new EngineLoad();
	const record = (elapsedMs: number, from: number, to: number) => {
		for (let now = from; now < to; now += 250) {
			load.recordFirstEvent('small', generation, elapsedMs, now);
		}
	};

	expect(load.firstEventAt(0)).toBe(1);
	record(20, 0, 20_000);
	expect(load.firstEventAt(20_000)).toBeCloseTo(1, 1);
	record(200, 20_000, 25_000);
	expect(load.firstEventAt(25_000)).toBeGreaterThan(6);
	record(20, 25_000, 28_000);
	expect(load.firstEventAt(28_000)).toBeLessThan(2);
	expect(load.firstEventAt(60_000)).toBeCloseTo(1, 1);
});
