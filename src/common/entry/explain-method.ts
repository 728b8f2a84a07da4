import {peerMethod} from '../base/peer-method.js';
import {type RequestExplanation} from './request-history.js';

/** Asks the entry host that handled a request for the explanation of its routing. */
export const explainMethod = peerMethod<{readonly requestId: string}, {readonly explanation?: RequestExplanation}>('entry.explain');
