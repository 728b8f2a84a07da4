import {type Logger} from './logger.js';

const discard = () => undefined;

/** Discards all log lines. */
export const nullLogger: Logger = {info: discard, warn: discard, error: discard};
