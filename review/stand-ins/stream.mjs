import {setTimeout as sleep} from 'node:timers/promises';

/** Text of an event of a stream. */
export function eventText(event, id) {
	return `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
}

/** Answers with a stream of events in chunks. `bytesOf` may replace the bytes of an event. */
export async function answerStream({req, id}, res, {headers, events, eventMs, bytesOf = event => eventText(event, id)}) {
	res.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	for (let event = Number(req.headers['last-event-id'] ?? 0) + 1; event <= events && !res.destroyed; event++) {
		res.write(bytesOf(event));
		await sleep(eventMs); // eslint-disable-line no-await-in-loop -- events follow each other
	}

	res.end();
}

/** The same without a length and without chunks: the answer ends with its connection. */
export async function answerUnframedStream({req, id}, {socket}, {headers, events, eventMs}) {
	const lines = Object.entries({...headers, 'content-type': 'text/event-stream', connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
	for (let event = Number(req.headers['last-event-id'] ?? 0) + 1; event <= events && !socket.destroyed; event++) {
		socket.write(eventText(event, id));
		await sleep(eventMs); // eslint-disable-line no-await-in-loop -- events follow each other
	}

	socket.end();
}
