import {SseParser} from './sse-parser.js';

/**
Yields the data of the server-sent events in a byte stream.

@throws RangeError when an event exceeds 4 MiB.
*/
export async function * sseData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const parser = new SseParser();
	for await (const bytes of body) {
		yield * parser.push(bytes);
	}
}
