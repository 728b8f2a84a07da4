import {expect, it} from 'vitest';
import {createForwarderFixture} from '../../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';
import {type RecordingSink} from '../../testing/recording-sink.js';

const event = new TextEncoder().encode('id: 1\ndata: x\n\n');
const begin = ({events}: ScriptedAttempt) => {
	events.onHead(answerHead({framing: 'chunked'}));
	events.onData(event);
};

// Guards against logs from which it cannot be told how an answer was framed and whether its caller got all of it.
it.each<{name: string; act: (attempt: ScriptedAttempt, sink: RecordingSink) => void; fields: Record<string, unknown>}>([
	{
		name: 'whole', act(attempt) {
			begin(attempt);
			attempt.events.onEnd();
		}, fields: {
			framing: 'chunked', serverFraming: 'chunked', ending: 'whole', outcome: 'answered',
		},
	},
	{
		name: 'broken', act(attempt) {
			begin(attempt);
			attempt.events.onFailure({isUnsent: false, reason: 'reset'});
		}, fields: {
			framing: 'chunked', serverFraming: 'chunked', ending: 'broken', outcome: 'reset',
		},
	},
	{
		name: 'refused', act: scriptedAnswers.reset, fields: {
			framing: undefined, serverFraming: undefined, ending: 'refused', outcome: 'reset',
		},
	},
	{
		name: 'gone', act(attempt, sink) {
			begin(attempt);
			sink.onDisconnect!();
		}, fields: {
			framing: 'chunked', serverFraming: 'chunked', ending: 'gone', outcome: 'caller-gone',
		},
	},
])('logs that an answer ended as $name', ({act, fields}) => {
	const {port, send, logger} = createForwarderFixture('stream', {isResumable: false});
	const sink = send();
	act(port.attempts[0]!, sink);
	expect(logger.of('request finished')).toMatchObject([fields]);
});

// Guards against requests that vanish without a line, or look complete, when their process ends.
it('ends and logs the requests that are open when the process ends', () => {
	const {forwarder, port, send, logger} = createForwarderFixture('stream', {isResumable: false});
	const sinks = ['q0', 'q1'].map(id => send({id}));
	begin(port.attempts[0]!);
	forwarder.stop();
	expect(logger.of('requests are open at the end of the process')).toMatchObject([{active: 2, waiting: 0}]);
	expect(logger.of('request finished')).toMatchObject([
		{
			req: 'q0', framing: 'chunked', ending: 'broken', outcome: 'stopping',
		},
		{
			req: 'q1', framing: undefined, ending: 'refused', outcome: 'stopping',
		},
	]);
	expect(sinks.map(({isCut, refusal}) => ({isCut, ran: refusal?.ran}))).toEqual([{isCut: true, ran: undefined}, {isCut: false, ran: 'unknown'}]);
	expect(port.attempts.every(({isAborted}) => isAborted)).toBe(true);
});
