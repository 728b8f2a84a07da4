import {type Counters} from './counters.js';

const discard = () => undefined;

/** Discards all metrics. */
export const nullCounters: Counters = {increment: discard, gauge: discard, timing: discard};
