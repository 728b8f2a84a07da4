import {Buffer} from 'node:buffer';
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createServer as createHttpServer, type ServerResponse} from 'node:http';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {fileURLToPath} from 'node:url';
import {chunk, type AnswerKind} from './answer-kinds.js';

/** Servers that a process opens on one address. */
interface ServerPlan {
	readonly ip: string;
	/** What each of the faulty servers sends. */
	readonly faulty: readonly AnswerKind[];
	/** Number of sound servers. */
	readonly sound: number;
}

/** Starts of requests that faulty servers answer soundly: health checks and reports. */
const controlRequest = /^GET (?<path>\/h|\/-\/\S*) /v;
const soundHeaders = {'x-backend-seal': 's'};
const largeBodyBytes = 1024 * 1024;
const smallChunk = 'x'.repeat(64);
const streamEvents = 70;
const eventsAtOnce = 200;
const eventMs = 50;

/** Servers in a process of their own. */
export class ServerProcess {
	/** Starts the servers. */
	static async start(plan: ServerPlan): Promise<ServerProcess> {
		const child = fork(fileURLToPath(import.meta.url), ['serve']);
		child.send(plan);
		const [ports] = await once(child, 'message') as [number[]];
		return new ServerProcess(child, ports.map(port => `${plan.ip}:${port}`));
	}

	private constructor(private readonly _child: ChildProcess, readonly addresses: readonly string[]) {}

	/** Ends the process. */
	async close(): Promise<void> {
		const ended = once(this._child, 'exit');
		this._child.kill('SIGKILL');
		await ended;
	}
}

/** Returns the bytes to send next, again and again. */
function partsOf({repeated = '', events}: AnswerKind): () => Uint8Array {
	if (events === undefined) {
		const bytes = Buffer.from(repeated, 'latin1');
		return () => bytes;
	}

	let id = 0;
	return () => {
		const text = Array.from({length: eventsAtOnce}, () => `id: ${++id}\ndata: x\n\n`).join('');
		return Buffer.from(events === 'none' ? text : (events === 'large chunks' ? chunk(text) : [...text].map(character => chunk(character)).join('')));
	};
}

function sendEndlessly(socket: Socket, kind: AnswerKind): void {
	const {beginning, isUnbuffered} = kind;
	const next = partsOf(kind);
	const send = () => {
		if (!socket.destroyed) {
			socket.write(next(), () => {
				setImmediate(send);
			});
		}
	};

	socket.setNoDelay(isUnbuffered ?? false);
	socket.write(beginning, 'latin1');
	send();
}

function faultyServer(kind: AnswerKind): Server {
	return createServer(socket => {
		let isAnswering = false;
		socket.on('error', () => {/* The host closes the connection at any time. */}).on('data', data => {
			const path = controlRequest.exec(String(data))?.groups?.path;
			if (path !== undefined) {
				socket.write(`HTTP/1.1 ${path === '/h' ? 200 : 404} X\r\ncontent-length: 0\r\n\r\n`);
			} else if (!isAnswering) {
				isAnswering = true;
				sendEndlessly(socket, kind);
			}
		});
	});
}

function answerSoundly(path: string, res: ServerResponse): void {
	if (path === '/h' || path.startsWith('/-/')) {
		res.writeHead(path === '/h' ? 200 : 404, {'content-length': 0}).end();
	} else if (path.startsWith('/sound-stream/')) {
		res.writeHead(200, {...soundHeaders, 'content-type': 'text/event-stream'});
		let sent = 0;
		const timer = setInterval(() => {
			res.write(`id: ${++sent}\ndata: token\n\n`);
			if (sent === streamEvents) {
				clearInterval(timer);
				res.end();
			}
		}, eventMs);
		res.once('close', () => {
			clearInterval(timer);
		});
	} else if (path === '/sound/large') {
		res.writeHead(200, soundHeaders).flushHeaders();
		res.socket!.write(`40\r\n${smallChunk}\r\n`.repeat(largeBodyBytes / smallChunk.length));
		res.end();
	} else {
		res.writeHead(200, {...soundHeaders, 'content-length': 2}).end('ok');
	}
}

async function listen({ip, faulty, sound}: ServerPlan): Promise<number[]> {
	const servers = [
		...faulty.map(kind => faultyServer(kind)),
		...Array.from({length: sound}, () => createHttpServer({keepAliveTimeout: 20_000}, (req, res) => {
			req.resume();
			answerSoundly(req.url!, res);
		})),
	];
	return Promise.all(servers.map(async server => {
		await once(server.listen(0, ip), 'listening');
		return (server.address() as AddressInfo).port;
	}));
}

if (process.argv[2] === 'serve') {
	process.once('message', async plan => {
		process.send!(await listen(plan as ServerPlan));
	});
	process.once('disconnect', () => {
		process.exit();
	});
}
