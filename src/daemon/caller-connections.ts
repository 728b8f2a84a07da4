import {type Server as HttpServer, type ServerResponse, STATUS_CODES} from 'node:http';
import {Server, type Socket} from 'node:net';

/** Connections of callers with the answers that are not completely written, so that a stop closes no connection under an answer. */
export class CallerConnections {
	/** Unfinished answers of each connection, in the order of their requests. */
	private readonly _answers = new Map<Socket, Set<ServerResponse>>();
	/** Bytes that had been read from a connection when it became idle. */
	private readonly _bytesWhenIdle = new WeakMap<Socket, number>();
	private _isDraining = false;

	constructor(private readonly _server: HttpServer) {
		_server.on('connection', (socket: Socket) => {
			const answers = new Set<ServerResponse>();
			this._answers.set(socket, answers);
			this._bytesWhenIdle.set(socket, 0);
			socket.once('close', () => {
				this._answers.delete(socket);
				for (const res of answers) {
					if (!res.socket) {
						// An answer that waits for an earlier one on the same connection gets no event of Node.js.
						res.destroy();
						res.emit('close');
					}
				}
			});
		});
	}

	/** Adds the answer to a request. @returns false when the connection is about to close after an earlier answer, so that this one cannot be sent. */
	add(socket: Socket, res: ServerResponse): boolean {
		const answers = this._answers.get(socket);
		if (!answers) {
			return false;
		}

		if (this._isDraining) {
			// A caller that sends several requests at once gets all answers; only the last one closes the connection.
			for (const earlier of answers) {
				if (earlier.headersSent && earlier.getHeader('connection') === 'close') {
					return false;
				}

				if (!earlier.headersSent) {
					earlier.removeHeader('connection');
				}
			}

			res.setHeader('connection', 'close');
		}

		answers.add(res);
		res.once('close', () => {
			answers.delete(res);
			this._bytesWhenIdle.set(socket, socket.bytesRead);
		});
		return true;
	}

	/**
	Ends a connection on which bytes arrived that are no request. The answers to complete requests before them are written first;
	an answer of the HTTP server itself would be taken for one of theirs.
	*/
	reject(socket: Socket, status: number): void {
		const last = [...this._answers.get(socket) ?? []].findLast(({req}) => req.complete);
		if (last) {
			if (!last.headersSent) {
				last.setHeader('connection', 'close');
			}

			last.once('close', () => {
				socket.destroy();
			});
		} else if (socket.writable) {
			socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`, () => {
				socket.destroy();
			});
		} else {
			socket.destroy();
		}
	}

	/** Makes the last answer on each connection close it. */
	drain(): void {
		this._isDraining = true;
		for (const answers of this._answers.values()) {
			const last = [...answers].at(-1);
			if (last && !last.headersSent) {
				last.setHeader('connection', 'close');
			}
		}
	}

	/** Accepts no new connections and closes those without an unfinished answer and without a request that is being read. */
	close(): void {
		// The HTTP server's own methods also close connections whose answer has ended but is not written yet, because its caller reads slowly.
		Server.prototype.close.call(this._server);
		for (const [socket, answers] of this._answers) {
			if (answers.size === 0 && socket.bytesRead === this._bytesWhenIdle.get(socket)) {
				socket.destroy();
			}
		}
	}
}
