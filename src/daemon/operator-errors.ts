import {PeerCallError} from '../common/base/peer-errors.js';
import {AppError} from '../common/base/app-error.js';
import {type ControlResult} from '../common/control/control-result.js';
import {DocumentError} from '../common/documents/document-error.js';
import {RefusalError} from '../common/entry/refusal-error.js';

/** HTTP status and JSON body of a reply to an operator. */
export interface OperatorReply {
	readonly status: number;
	readonly body: unknown;
}

/** Maps the result of a change to a reply. */
export function changeReply(result: ControlResult): OperatorReply {
	switch (result.status) {
		case 'accepted':
		case 'ignored': {
			return {status: 200, body: result};
		}

		case 'conflict': {
			const {code, message, revision, current} = result;
			return {
				status: 409, body: {
					error: {
						code, message, revision, current,
					},
				},
			};
		}

		case 'rejected': {
			const {code, message} = result;
			return {status: code.endsWith('-unknown') ? 404 : 422, body: {error: {code, message}}};
		}
	}
}

/** Maps the result of an order on an evacuation to a reply. One that was overtaken is to be sent again if it is still wanted. */
export function evacuationReply(result: ControlResult): OperatorReply {
	const reply = changeReply(result);
	return result.status === 'conflict' ? {...reply, status: 503} : reply;
}

/** Maps an error to a reply. A change that is answered with 503 may or may not have been made. */
export function operatorErrorReply(error: unknown): OperatorReply {
	if (error instanceof DocumentError) {
		return {status: 400, body: {error: {code: error.code, message: error.message, issues: error.issues}}};
	}

	if (error instanceof RefusalError) {
		return {status: error.status, body: {error: {code: error.code, message: error.message}}};
	}

	if (error instanceof PeerCallError) {
		return {status: 503, body: {error: {code: error.peerCode, message: error.message}}};
	}

	if (error instanceof AppError) {
		return {status: 503, body: {error: {code: error.code, message: error.message}}};
	}

	return {status: 500, body: {error: {code: 'internal', message: 'the daemon failed to handle the request'}}};
}
