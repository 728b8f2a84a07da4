import {expectedBody} from '../answer-text.js';
import {answered, answerEnd, type Judge} from './soak-history.js';

/** MIXED: a success without the signature of its run, with a body that is not whole, of another request, or where the server had failed; a failure with the signature of a run that answered otherwise; bytes that are no answer. */
export const judgeMixed: Judge = history => answered(history).flatMap(({request, outcome, runs}) => {
	const {id, status, signature, answeredId, body, end, strayBytes, headers} = outcome;
	const found = strayBytes === '' ? [] : [`${id}: bytes that belong to no answer: ${JSON.stringify(strayBytes.slice(0, 80))}`];
	if (status === undefined) {
		return found;
	}

	const signed = runs.find(run => run.signature === signature);
	const isSuccess = status >= 200 && status < 300;
	if (answeredId !== undefined && answeredId !== id) {
		found.push(`${id} got an answer to ${answeredId}`);
	}

	if (signature !== undefined && signed?.status !== status) {
		found.push(`${id} got ${status} with the signature of ${signed ? `a run that answered ${signed.status}` : 'no run of it'}`);
	} else if (isSuccess && signature === undefined) {
		found.push(`${id} got ${status} without a signature`);
	}

	const texts = (request.models.length > 0 ? request.models : ['']).map(model => expectedBody(id, false, model));
	if (isSuccess && !request.isStream && end === answerEnd.complete && (!texts.includes(body) || headers['content-encoding'] !== undefined)) {
		found.push(`${id} got as complete: ${JSON.stringify(body.slice(0, 60))}`);
	}

	return found;
});
