import {answerHead, type ScriptedAttempt} from './scripted-port.js';

const encoder = new TextEncoder();

/** Answers of a backend server to an attempt, by name. */
export const scriptedAnswers = {
	good({events}: ScriptedAttempt) {
		events.onHead(answerHead({length: 2}));
		events.onData(encoder.encode('ok'));
		events.onEnd();
	},
	failed({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 500, length: 0}));
		events.onEnd();
	},
	notRun({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 503, isNotRun: true}));
		events.onEnd();
	},
	otherServer({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 421, isOtherServer: true, isNotRun: true}));
		events.onEnd();
	},
	reset({events}: ScriptedAttempt) {
		events.onFailure({isUnsent: false, reason: 'reset'});
	},
	unsent({events}: ScriptedAttempt) {
		events.onFailure({isUnsent: true, reason: 'refused'});
	},
	short({events}: ScriptedAttempt) {
		events.onHead(answerHead({length: 5}));
		events.onData(encoder.encode('ok'));
		events.onEnd();
	},
	ofAnother({events}: ScriptedAttempt) {
		events.onHead(answerHead({isForRequest: false}));
	},
	unsigned({events}: ScriptedAttempt) {
		events.onHead(answerHead({isSigned: false}));
	},
} as const;
