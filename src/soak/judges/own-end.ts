import {type Judge} from './soak-history.js';

/** Own ends: a process ends that the soak has not killed or stopped. */
export const judgeOwnEnd: Judge = history => history.ownEnds.map(({host, code, signal, at}) => `${host} ended by itself at ${Math.round(at)} with ${signal ?? `code ${code}`}`);
