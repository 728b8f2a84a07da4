import {z} from 'zod';
import {TraceError} from './trace-error.js';
import {traceLineSchema, type Trace, type TraceHeader} from './trace.js';

/**
Reads a trace in the JSON-lines format of `docs/trace-format.md`.

@throws TraceError naming the first line that is malformed.
*/
export function parseTrace(text: string): Trace {
	let header: TraceHeader | undefined;
	const trace = {requests: [] as Array<Trace['requests'][number]>, events: [] as Array<Trace['events'][number]>, expectations: [] as Array<Trace['expectations'][number]>};
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		const parsed = traceLineSchema.safeParse(parseJson(line, index));
		if (!parsed.success) {
			throw new TraceError(`line ${index + 1}: ${z.prettifyError(parsed.error)}`);
		}

		const {data} = parsed;
		if ((data.type === 'trace') === (header !== undefined)) {
			throw new TraceError(`line ${index + 1}: the first line, and no other, must have the type trace`);
		}

		switch (data.type) {
			case 'trace': {
				header = data;
				break;
			}

			case 'request': {
				trace.requests.push(data);
				break;
			}

			case 'event': {
				trace.events.push(data);
				break;
			}

			case 'expect': {
				trace.expectations.push(data);
				break;
			}
		}
	}

	if (!header) {
		throw new TraceError('the trace is empty');
	}

	trace.requests.sort((a, b) => a.at - b.at);
	trace.events.sort((a, b) => a.at - b.at);
	return {header, ...trace};
}

/** Writes a trace as text, with one JSON value in each line. */
export function formatTrace({header, requests, events, expectations}: Trace): string {
	return [header, ...requests, ...events, ...expectations].map(line => `${JSON.stringify(line)}\n`).join('');
}

function parseJson(line: string, index: number): unknown {
	try {
		return JSON.parse(line);
	} catch (error) {
		throw new TraceError(`line ${index + 1}: not JSON`, {cause: error});
	}
}
