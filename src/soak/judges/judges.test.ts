import {expect, it} from 'vitest';
import {eventTexts, expectedBody} from '../answer-text.js';
import {SoakRecorder} from '../soak-recorder.js';
import {judge} from './judges.js';
import {
	type SentConfiguration, type SoakOutcome, type SoakRequest, type SoakRun,
} from './soak-history.js';

function configuration(version: number, changes: Partial<SentConfiguration> = {}): SentConfiguration {
	return {
		version, text: `text ${version}`, grants: ['k', 'other', '/r/'], removed: [], ...changes,
	};
}

function acknowledge(record: SoakRecorder, sent: SentConfiguration, at: number): void {
	record.sentConfigurations.push(sent);
	record.acknowledgements.push({configuration: sent, at});
	record.lastVersions = new Map([['c', Math.max(sent.version, record.lastVersions.get('c') ?? 0)]]);
}

/** Records a request that is sent at 10,000, runs once and is answered; `undefined` leaves its part out. */
function play(record: SoakRecorder, changes: Partial<SoakRequest> = {}, runChanges?: Partial<SoakRun> | null, outcomeChanges: Partial<SoakOutcome> = {}): void { // eslint-disable-line @typescript-eslint/no-restricted-types -- null for no run
	const id = changes.id ?? 'q';
	const request = {
		id, grants: ['k'], isRepeatable: false, isStream: false, after: 0, models: [], service: 's', method: 'POST', path: '/x', body: 'body', maxAttempts: 3, deadlineMs: 3000, timeoutMs: 2500, sentAt: 10_000, ...changes,
	};
	record.requests.set(id, request);
	if (runChanges !== null) {
		record.recordRun({
			server: 'a', service: 's', zone: 'z', id, at: 10_010, method: 'POST', path: '/x', model: '', signature: `a.${id}`, deadlineMs: 2900, isSound: true, body: 'body', status: 200, end: 'complete', endedAt: 10_050, ...runChanges,
		});
	}

	record.outcomes.set(id, {
		id, end: 'complete', status: 200, headers: {}, body: expectedBody(id, request.isStream, request.models[0]), signature: `a.${id}`, answeredId: id, strayBytes: '', isKept: true, lastByteAt: 10_001, endedAt: 10_060, entry: 0, isOwed: false, isAfterFaults: true, ...outcomeChanges,
	});
}

function recorder(isFaultFree = true): SoakRecorder {
	const record = new SoakRecorder(isFaultFree, false, 4000);
	acknowledge(record, configuration(1), 0);
	play(record, {id: 'first'});
	return record;
}

function repeat(count: number, act: (id: string) => void): void {
	for (let index = 0; index < count; index++) {
		act(`q${index}`);
	}
}

/** Id whose stream has several events. */
const long = Array.from({length: 50}, (_, index) => `s${index}`).find(id => eventTexts(id).length > 4)!;
const noAnswer = {
	status: undefined, body: '', signature: undefined, answeredId: undefined,
};
const refusal = {status: 503, body: '', signature: undefined};

// Guards against false violations: what the pages allow.
it.each<{allowed: string; act: (record: SoakRecorder) => void}>([
	{
		allowed: 'a stream that runs twice and is whole', act(record) {
			play(record, {id: long, isStream: true, isRepeatable: true});
			record.recordRun({...record.runs.get(long)![0]!, server: 'b', signature: 'b'});
		},
	},
	{
		allowed: 'requests to a zone within 5 s of its evacuation and after its withdrawal was sent', act(record) {
			record.evacuations.push({
				zone: 'z', acknowledgedAt: 5100, endSentAt: Infinity, isEnded: false,
			}, {
				zone: 'z', acknowledgedAt: 0, endSentAt: 10_005, isEnded: true,
			}, {
				zone: 'y', acknowledgedAt: 0, endSentAt: Infinity, isEnded: false,
			});
			repeat(100, id => {
				play(record, {id});
			});
		},
	},
	{
		allowed: 'a stream that ends early and does not look complete', act(record) {
			play(record, {id: long, isStream: true}, {}, {body: eventTexts(long)[0], end: 'cut'});
			repeat(60, id => {
				play(record, {id});
			});
		},
	},
	{
		allowed: 'an answer of one of the models', act(record) {
			play(record, {isStream: true, models: ['small', 'large']}, {model: 'large'}, {body: expectedBody('q', true, 'large')});
		},
	},
	{
		allowed: 'a refusal of a request that may be repeated and has run before, and of one that has not', act(record) {
			play(record, {id: 'r', isRepeatable: true}, {}, refusal);
			play(record, {}, null, refusal);
			repeat(60, id => {
				play(record, {id});
			});
		},
	},
	{
		allowed: 'refusals of a removed key and route', act(record) {
			acknowledge(record, configuration(2, {grants: ['other'], removed: ['k', '/r/']}), 9000);
			play(record, {sentAt: 14_001}, null, {
				...refusal, status: 401, isAfterFaults: false, endedAt: 14_003,
			});
			play(record, {id: 'r', grants: ['other', '/r/']}, null, {...refusal, status: 404, isAfterFaults: false});
		},
	},
	{
		allowed: 'a request that is broken off by its server, or is still being worked on at the end of the grace time, at a planned stop', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'stop', isServing: true, at: 10_020,
			});
			play(record, {id: 'b'}, {end: 'broken', isSound: false}, {...noAnswer, end: 'cut', isAfterFaults: false});
			play(record, {id: 'c', deadlineMs: 9000, timeoutMs: 9000}, {end: 'left', endedAt: 14_020}, {
				...noAnswer, end: 'cut', endedAt: 14_020, isAfterFaults: false,
			});
		},
	},
	{
		allowed: 'a request that crosses the close of a kept connection', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'stop', isServing: true, at: 9990,
			});
			play(record, {}, null, {...noAnswer, end: 'none', isAfterFaults: false});
		},
	},
	{
		allowed: 'a read of an older configuration soon after a change', act(record) {
			acknowledge(record, configuration(2), 9000);
			record.reads.push({
				host: 'c', version: 1, text: 'text 1', sentAt: 11_000,
			});
			record.refusedConfigurations.push({version: 2, status: 503});
		},
	},
])('accepts $allowed', ({act}) => {
	const record = recorder();
	act(record);
	expect(judge(record)).toEqual([]);
});

// Guards against judges that miss violations: each row plants one.
it.each<{planted: string; rule: string; hasFaults?: boolean; act: (record: SoakRecorder) => void}>([
	{
		planted: 'a stream with a gap', rule: 'ORDER', act(record) {
			play(record, {id: long, isStream: true}, {}, {body: expectedBody(long, true).replace(eventTexts(long)[1]!, '')});
		},
	},
	{
		planted: 'a broken stream with a piece twice', rule: 'ORDER', act(record) {
			play(record, {id: long, isStream: true}, {}, {body: eventTexts(long)[0]! + eventTexts(long)[0]!, end: 'cut'});
		},
	},
	{
		planted: 'a stream that ends as complete before its last piece', rule: 'ORDER', act(record) {
			play(record, {id: long, isStream: true}, {}, {body: eventTexts(long)[0]!});
		},
	},
	{
		planted: 'pieces of the answers of two models', rule: 'ORDER', act(record) {
			play(record, {id: long, isStream: true, models: ['small', 'large']}, {}, {body: eventTexts(long, 1, 'small')[0]! + eventTexts(long, 2, 'large').join('')});
		},
	},
	{
		planted: 'the text of an error in the middle of a stream', rule: 'ORDER', act(record) {
			play(record, {id: long, isStream: true}, {}, {body: `${eventTexts(long)[0]!}id: 2\ndata: error\n\n`, end: 'cut'});
		},
	},
	{
		planted: 'an answer to another request', rule: 'MIXED', act(record) {
			play(record, {}, {}, {body: expectedBody('p', false)});
		},
	},
	{
		planted: 'the id of another request in an answer', rule: 'MIXED', act(record) {
			play(record, {}, {}, {answeredId: 'p'});
		},
	},
	{
		planted: 'a short answer that looks complete', rule: 'MIXED', act(record) {
			play(record, {}, {}, {body: 'answ'});
		},
	},
	{
		planted: 'a success without a signature', rule: 'MIXED', act(record) {
			play(record, {}, {}, {signature: undefined});
		},
	},
	{
		planted: 'a success where the server had failed', rule: 'MIXED', act(record) {
			play(record, {}, {status: 500});
		},
	},
	{
		planted: 'a failure with the signature of a success', rule: 'MIXED', act(record) {
			play(record, {}, {}, {status: 502});
		},
	},
	{
		planted: 'bytes that are no answer', rule: 'MIXED', act(record) {
			play(record, {}, {}, {strayBytes: 'HTTP/1.1 200 OK'});
		},
	},
	{
		planted: 'a second run of a request that must not be repeated', rule: 'TWICE', act(record) {
			play(record);
			record.recordRun({...record.runs.get('q')![0]!, server: 'b'});
		},
	},
	{
		planted: 'a refusal after a run', rule: 'REFUSED', act(record) {
			play(record, {}, {}, refusal);
		},
	},
	{
		planted: 'a run after a refusal of a request that may be repeated', rule: 'REFUSED', act(record) {
			play(record, {isRepeatable: true}, {at: 10_100}, refusal);
		},
	},
	...[{method: 'GET'}, {path: '/y'}, {body: 'bod'}].map(changed => ({
		planted: `a run with another ${Object.keys(changed).join('')}`, rule: 'UNASKED', act(record: SoakRecorder) {
			play(record, {}, changed);
		},
	})),
	{
		planted: 'a run of a request that nobody sent', rule: 'UNASKED', act(record) {
			play(record);
			record.requests.delete('q');
		},
	},
	{
		planted: 'runs that begin after their callers have left', rule: 'GONE', act(record) {
			repeat(4, id => {
				play(record, {id}, {at: 11_000}, {...noAnswer, end: 'left', endedAt: 10_400});
			});
		},
	},
	{
		planted: 'servers that still work for callers that have left', rule: 'GONE', act(record) {
			repeat(4, id => {
				play(record, {id, isRepeatable: true}, {endedAt: 11_000}, {...noAnswer, end: 'left', endedAt: 10_400});
			});
		},
	},
	{
		planted: 'a request to a server that has left', rule: 'DRAIN', act(record) {
			record.leaves.set('a', 7000);
			play(record);
		},
	},
	{
		planted: 'a request to an evacuated zone', rule: 'EVACUATED', act(record) {
			record.evacuations.push({
				zone: 'z', acknowledgedAt: 4700, endSentAt: Infinity, isEnded: false,
			});
			play(record);
		},
	},
	{
		planted: 'a zone that stays without requests after its evacuation', rule: 'EVACUATED', act(record) {
			record.evacuations.push({
				zone: 'y', acknowledgedAt: 0, endSentAt: 5000, isEnded: true,
			});
			repeat(100, id => {
				play(record, {id});
			});
		},
	},
	{
		planted: 'a request that a planned stop interrupts', rule: 'LOST', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'stop', isServing: true, at: 10_020,
			});
			play(record, {}, {end: 'left'}, {...noAnswer, end: 'cut'});
		},
	},
	{
		planted: 'a request that a planned stop closes without having passed it on', rule: 'LOST', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'stop', isServing: true, at: 9900,
			});
			play(record, {}, null, {...noAnswer, end: 'none', endedAt: 10_300});
		},
	},
	{
		planted: 'a stopping host that refuses connections at once', rule: 'LOST', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'stop', isServing: true, at: 9600,
			});
			play(record, {}, null, {...noAnswer, end: 'unreachable', lastByteAt: undefined});
		},
	},
	{
		planted: 'a request that a reload interrupts', rule: 'LOST', act(record) {
			record.plannedWork.push({
				entry: 0, kind: 'reload', isServing: true, at: 10_020,
			});
			play(record, {}, {end: 'left'}, {...noAnswer, end: 'cut'});
		},
	},
	{
		planted: 'kept connections that are closed instead of an answer', rule: 'LOST', act(record) {
			repeat(4, id => {
				play(record, {id}, {end: 'left'}, {...noAnswer, end: 'none'});
			});
		},
	},
	{
		planted: 'a run with a key that was removed', rule: 'CONFIG', act(record) {
			acknowledge(record, configuration(2, {grants: ['other'], removed: ['k']}), 4999);
			play(record);
		},
	},
	{
		planted: 'a run on a route that was removed', rule: 'CONFIG', act(record) {
			acknowledge(record, configuration(2, {grants: ['k'], removed: ['/r/']}), 4999);
			play(record, {grants: ['k', '/r/']});
		},
	},
	...[401, 403, 404].map(status => ({
		planted: `a refusal with ${status} of what has been valid for longer than a lease`, rule: 'CONFIG', act(record: SoakRecorder) {
			play(record, {grants: ['k', '/r/']}, null, {...refusal, status});
		},
	})),
	{
		planted: 'requests without an answer after their time limit', rule: 'CONFIG', act(record) {
			repeat(8, id => {
				play(record, {id}, null, {...noAnswer, end: 'late', endedAt: 13_001});
			});
		},
	},
	{
		planted: 'a read of an older configuration', rule: 'CONFIG', act(record) {
			acknowledge(record, configuration(2), 2000);
			record.reads.push({
				host: 'c', version: 1, text: 'text 1', sentAt: 4600,
			});
		},
	},
	{
		planted: 'one control host of two that lost an acknowledged configuration', rule: 'CONFIG', act(record) {
			acknowledge(record, configuration(2), 2000);
			record.lastVersions = new Map([['c', 2], ['d', 1]]);
		},
	},
	{
		planted: 'a control host that cannot be read at the end', rule: 'CONFIG', act(record) {
			record.lastVersions = new Map([['c', 1], ['d', undefined]]);
		},
	},
	{
		planted: 'an end without reads', rule: 'CONFIG', act(record) {
			record.lastVersions = new Map();
		},
	},
	{
		planted: 'a configuration that is read with one character less', rule: 'CONFIG', act(record) {
			record.reads.push({
				host: 'c', version: 1, text: 'text ', sentAt: 1000,
			});
		},
	},
	{
		planted: 'a version that is read with the content of two operators', rule: 'CONFIG', act(record) {
			acknowledge(record, configuration(1, {text: 'other text'}), 1);
			record.reads.push({
				host: 'c', version: 1, text: 'text 1', sentAt: 1000,
			}, {
				host: 'd', version: 1, text: 'other text', sentAt: 1100,
			});
		},
	},
	{
		planted: 'a valid configuration that is refused', rule: 'CONFIG', act(record) {
			record.refusedConfigurations.push({version: 2, status: 400});
		},
	},
	{
		planted: 'a control host that cannot be read', rule: 'CONFIG', act(record) {
			record.unreadable.push('c');
		},
	},
	{
		planted: 'requests that run on more servers than allowed', rule: 'BUDGET', act(record) {
			repeat(4, id => {
				play(record, {id, isRepeatable: true, maxAttempts: 1});
				record.recordRun({...record.runs.get(id)![0]!, server: 'b'});
			});
		},
	},
	{
		planted: 'servers that get more time than is left', rule: 'BUDGET', act(record) {
			repeat(21, id => {
				play(record, {id}, {deadlineMs: undefined});
			});
		},
	},
	{
		planted: 'a run at another service', rule: 'ROUTE', act(record) {
			play(record, {}, {service: 't'});
		},
	},
	{
		planted: 'a run with a key that was never valid', rule: 'ROUTE', act(record) {
			play(record, {grants: ['forged']});
		},
	},
	{
		planted: 'requests that still fail after the faults', rule: 'RECOVER', hasFaults: true, act(record) {
			play(record, {}, null, {...refusal, status: 502});
		},
	},
	{
		planted: 'refusals during planned work by a host that is not being restarted', rule: 'RECOVER', act(record) {
			play(record, {}, null, {...refusal, isOwed: true, isAfterFaults: false});
		},
	},
	{
		planted: 'a process that ends by itself', rule: 'own end', hasFaults: true, act(record) {
			record.ownEnds.push({
				host: 'entry-0', code: undefined, signal: 'SIGHUP', ageMs: 20,
			});
		},
	},
])('$rule: reports $planted', ({rule, hasFaults, act}) => {
	const record = recorder(!hasFaults);
	act(record);
	expect(judge(record).map(text => text.split(':')[0])).toContain(rule);
});
