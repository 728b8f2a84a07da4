import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {RecordingLogger} from '../../testing/recording-logger.js';
import {ColdServerLog} from './cold-server-log.js';

const many = Array.from({length: 30}, (_, index) => testBackend(`s-${index}`, {coldSince: 9}));

// Guards against changes that are not logged, lines without a change, and lines whose length grows with the number of servers.
it.each([
	{name: 'a server that turns cold', servers: [testBackend('a', {coldSince: 1}), testBackend('b', {coldSince: 2})], line: {turnedCold: ['b'], noLongerCold: [], cold: 2}},
	{name: 'a server that is marked again', servers: [testBackend('a', {coldSince: 5})], line: {turnedCold: ['a'], noLongerCold: [], cold: 1}},
	{name: 'a server that turns warm', servers: [testBackend('a')], line: {turnedCold: [], noLongerCold: ['a'], cold: 0}},
	{name: 'a cold server that leaves', servers: [], line: {turnedCold: [], noLongerCold: ['a'], cold: 0}},
	{name: 'many servers', servers: many, line: {turnedCold: many.slice(0, 20).map(({id}) => id), turnedColdCount: 30, cold: 30}},
	{name: 'no change', servers: [testBackend('a', {coldSince: 1}), testBackend('b')], line: undefined},
])('logs $name', ({servers, line}) => {
	const logger = new RecordingLogger();
	const log = new ColdServerLog(logger);
	log.update([testBackend('a', {coldSince: 1})], 1);
	log.update(servers, 7);
	expect(logger.lines.slice(1)).toEqual(line ? [expect.objectContaining({...line, revision: 7})] : []);
});
