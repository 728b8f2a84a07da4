import {type Judge} from './soak-history.js';

/** Own ends: a process ends that the soak has not killed or stopped. */
export const judgeOwnEnd: Judge = history => history.ownEnds.map(({host, code, signal, ageMs}) => `${host} ended by itself with ${signal ?? `code ${code}`} ${ageMs} ms after its start`);
