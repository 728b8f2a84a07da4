import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {nullCounters} from '../base/null-counters.js';
import {nullLogger} from '../base/null-logger.js';
import {ServerRecord} from '../forwarding/server-pool.js';
import {CrashRecorder} from './crash-recorder.js';

const prompt = (...ids: string[]) => [...ids, 'own'].map(id => ({id, tokens: 1}));

function create(refuses: boolean) {
	const clock = new ManualClock();
	const recorder = new CrashRecorder({
		clock, port: {refusesConnections: async () => refuses}, logger: nullLogger, counters: nullCounters,
	});
	let urgent = 0;
	recorder.onUrgent(() => {
		urgent++;
	});
	return {clock, recorder, urgentReports: () => urgent};
}

// Guards against blaming prompts for connections that a server closes while it goes on, and for parts that belong to one request.
it.each<{name: string; refuses: boolean; sound: string[]; parts: string[]; reported: string[]}>([
	{
		name: 'a process that has ended', refuses: true, sound: [], parts: ['root', 'doc'], reported: ['root', 'doc'],
	},
	{
		name: 'a process that goes on', refuses: false, sound: [], parts: ['root', 'doc'], reported: [],
	},
	{
		name: 'parts that are known to be sound', refuses: true, sound: ['root'], parts: ['root', 'doc'], reported: ['doc'],
	},
	{
		name: 'a prompt without shared parts', refuses: true, sound: [], parts: [], reported: [],
	},
])('reports $reported of $name', async ({refuses, sound, parts, reported}) => {
	const {clock, recorder, urgentReports} = create(refuses);
	recorder.recordComplete(prompt(...sound));
	recorder.recordBroken(new ServerRecord(testBackend('a')), prompt(...parts));
	await clock.advance(1);
	expect((recorder.collect(1)?.crashes ?? []).flatMap(crash => crash.parts.map(([part]) => part))).toEqual(reported);
	expect(urgentReports()).toBe(reported.length > 0 ? 1 : 0);
});

// Guards against a report that is lost with its renewal or with the leader that received it, and against one that is sent for ever.
it('repeats a report until it is acknowledged, and to a new leader', async () => {
	const {clock, recorder} = create(true);
	recorder.recordBroken(new ServerRecord(testBackend('a')), prompt('doc'));
	recorder.recordRefused('bad');
	recorder.recordComplete(prompt('other'));
	await clock.advance(1);
	const first = recorder.collect(1);
	expect(first).toMatchObject({sound: ['other'], refused: ['bad']});
	expect(recorder.collect(1)).toEqual(first);
	recorder.acknowledge(1, first);
	expect(recorder.collect(1)).toBeUndefined();
	expect(recorder.collect(2)?.crashes).toEqual(first?.crashes);
});

// Guards against a crashing part that is left out of a report because a server with many slots ran many prompts.
it('reports the parts of all requests that a server with 64 slots ran', async () => {
	const {clock, recorder} = create(true);
	const record = new ServerRecord(testBackend('a'));
	const parts = Array.from({length: 64}, (_, index) => `doc${index}`);
	for (const part of parts) {
		recorder.recordBroken(record, prompt('root', part));
	}

	await clock.advance(1);
	expect(recorder.collect(1)?.crashes[0]?.parts.map(([part]) => part)).toEqual(['root', ...parts]);
});
