import {expectedBody} from '../answer-text.js';
import {answered, answerEnd, type Judge} from './soak-history.js';

/** ORDER: a stream lacks a piece, has one twice or of another run, or ends as complete before its last piece. */
export const judgeOrder: Judge = history => answered(history).filter(({request, outcome}) => request.isStream && outcome.status === 200).flatMap(({request, outcome: {id, body, end}}) => {
	const texts = (request.models.length > 0 ? request.models : ['']).map(model => expectedBody(id, true, model, request.after + 1));
	const events = [...body.matchAll(/^id: (\d+)$/gmv)].map(([, event]) => event).join(' ');
	if (!texts.some(text => text.startsWith(body))) {
		return [`${id} got the events ${events}, or others than those of one answer`];
	}

	return end === answerEnd.complete && !texts.includes(body) ? [`${id} ended as complete after the events ${events || 'none'}`] : [];
});
