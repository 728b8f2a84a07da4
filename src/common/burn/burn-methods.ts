import {peerMethod} from '../base/peer-method.js';
import {type BurnSummary} from './burn-report.js';

/** Asks the control leader for the error budget burn of all services. */
export const burnMethod = peerMethod<Record<string, never>, BurnSummary>('burn.report');
