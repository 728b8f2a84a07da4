import {expect, it} from 'vitest';
import {documentFindings} from './document-findings.js';
import {type DocumentError} from './document-error.js';
import {checkDocument, parseDocumentWithLines} from './parse-document.js';
import {formatPath} from './format-path.js';

const key = 'a'.repeat(64);
const other = 'b'.repeat(64);
const base = {service: 's', versions: ['m@1', 'm@2'], customers: [{name: 'x', keySha256: key}]};

// Guards against a document that is sent although a part of it never takes effect, and against warnings on sound documents.
it.each<{name: string; change: Record<string, unknown>; paths: string[]}>([
	{name: 'a sound document', change: {limits: {maxTokens: 100}, objectives: [{firstTokenMs: 500, goodShare: 0.9}], rollout: {from: 'm@1', to: 'm@2'}}, paths: []},
	{name: 'two customers with one key', change: {customers: [...base.customers, {name: 'y', keySha256: key}]}, paths: ['customers[1].keySha256']},
	{name: 'a token limit below one answer', change: {customers: [{...base.customers[0], tokensPerSecond: 10}], limits: {deadlineMs: 2000, maxTokens: 21}}, paths: ['customers[0].tokensPerSecond']},
	{name: 'a token limit of one answer', change: {customers: [{...base.customers[0], tokensPerSecond: 10}], limits: {deadlineMs: 2000, maxTokens: 20}}, paths: []},
	{name: 'a version that no customer may use', change: {customers: [{...base.customers[0], allow: ['m@1']}, {name: 'y', keySha256: other, allow: ['m@1']}]}, paths: ['versions[1]']},
	{name: 'a version listed twice', change: {versions: ['m@1', 'm@2', 'm@1']}, paths: ['versions[2]']},
	{name: 'a first version of sessions', change: {sessions: {startOn: 'm@1'}}, paths: ['sessions.startOn']},
	{name: 'a limit on concurrent requests', change: {limits: {maxConcurrent: 5}}, paths: ['limits.maxConcurrent']},
	{name: 'a quality of a plain service', change: {kind: 'plain', versions: [], quality: {target: 0.5}}, paths: ['quality.target']},
	{name: 'objectives that the deadline hides', change: {limits: {deadlineMs: 1000}, objectives: [{firstTokenMs: 1000, betweenTokensMs: 999, goodShare: 0.9}]}, paths: ['objectives[0].firstTokenMs']},
	{name: 'a roll-out to the same version', change: {rollout: {from: 'm@1', to: 'm@1'}}, paths: ['rollout.to']},
	{name: 'steps that fall and end early', change: {rollout: {from: 'm@1', to: 'm@2', steps: [5, 5, 50]}}, paths: ['rollout.steps[1]', 'rollout.steps[2]']},
])('finds what has no effect: $name', ({change, paths}) => {
	expect(documentFindings(checkDocument({...base, ...change})).map(({path}) => formatPath(path))).toEqual(paths);
});

// Guards against errors that the author of a document cannot locate, and against only the first one being reported.
it.each<{name: string; text: string; places: Array<[number | undefined, string]>}>([
	{name: 'two wrong values', text: 'service: S\nversions: [m@1]\ncustomers:\n  - name: x\n    keySha256: short\n', places: [[1, 'service'], [5, 'customers[0].keySha256']]},
	{name: 'an absent field', text: 'service: s\nversions: [m@1]\ncustomers:\n  - name: x\n', places: [[4, 'customers[0].keySha256']]},
	{name: 'two syntax errors', text: 'service: [s\nversions: }\n', places: [[2, ''], [2, '']]},
	{name: 'a broken rule', text: `service: s\nversions: [m@1]\ncustomers: [{name: x, keySha256: ${key}}]\nsessions:\n  startOn: m@2\n`, places: [[5, 'sessions.startOn']]},
])('locates all errors: $name', ({text, places}) => {
	let issues: DocumentError['issues'] = [];
	try {
		parseDocumentWithLines(text);
	} catch (error) {
		({issues} = error as DocumentError);
	}

	expect(issues.map(({line, path}) => [line, path])).toEqual(places);
});
