import {type Socket} from 'node:net';
import {buildConnector, errors} from 'undici';
import {HeldBytes, heldKind} from '../common/base/held-bytes.js';
import {guardReads} from './guarded-reads.js';
import {ReadPacer} from './read-pacer.js';
import {makeStrict} from './strict-socket.js';
import {SystemClock} from './system-clock.js';

/** A connector of the HTTP client; its type omits the socket that it returns. */
type SocketConnector = (...args: Parameters<buildConnector.connector>) => Socket;

/**
Creates a connector whose timeout is exact. The connect timeout of the HTTP client has a resolution of half a second, so that one
of 500 ms may last 1000 ms. Its connections report their ends strictly, and what their answers cost is bounded.

@param held limits the memory for heads of answers.
*/
export function timedConnector(timeoutMs: number, pacer = new ReadPacer(new SystemClock()), held = new HeldBytes()): buildConnector.connector {
	const connect = buildConnector({timeout: 0}) as unknown as SocketConnector;
	return (options, callback) => {
		const socket = connect(options, (...result) => {
			clearTimeout(timer);
			callback(...result);
		});
		makeStrict(socket);
		const address = `${options.hostname}:${options.port}`;
		guardReads(socket, pacer, address, held.open(socket, address, () => {
			socket.destroy(new Error('too many bytes are held'));
		}, heldKind.answerHead));
		const timer = setTimeout(() => {
			socket.destroy(new errors.ConnectTimeoutError(`no connection to ${options.hostname}:${options.port} within ${timeoutMs} ms`));
		}, timeoutMs);
	};
}
