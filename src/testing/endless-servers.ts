import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

const filler = 'x'.repeat(16 * 1024);
const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/** Answers without an end: a beginning, and a part that is repeated until the connection closes. */
export const endlessAnswers = {
	'a status line': ['HTTP/1.1 200 ', filler],
	headers: ['HTTP/1.1 200 OK\r\n', 'x-a: b\r\n'.repeat(2000)],
	'headers without a value': ['HTTP/1.1 200 OK\r\n', 'a:\r\n'.repeat(4000)],
	'small interim answers': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)],
	'large interim answers': ['', `HTTP/1.1 103 Early Hints\r\nx-a: ${'b'.repeat(7000)}\r\n\r\n`.repeat(2)],
	'chunks of one byte': [chunkedHead, '1\r\nx\r\n'.repeat(2500)],
	'a chunk extension': [`${chunkedHead}5;a=`, filler],
	'zeros of a chunk size': [chunkedHead, '0'.repeat(16 * 1024)],
	trailers: [`${chunkedHead}0\r\n`, 'x-a: b\r\n'.repeat(2000)],
	'blank lines': ['', '\r\n'.repeat(8000)],
} as const;
export type EndlessAnswer = keyof typeof endlessAnswers;

const source = `
const {createServer} = require('node:net');
const listen = ([beginning, repeated]) => new Promise(resolve => {
	const server = createServer(socket => {
		socket.on('error', () => {});
		socket.on('data', () => {
			const send = () => {
				if (!socket.destroyed && repeated !== '') {
					socket.write(repeated, () => setImmediate(send));
				}
			};
			socket.write(beginning);
			send();
		});
	});
	server.listen(0, '127.0.0.1', () => resolve(server.address().port));
});
Promise.all(JSON.parse(require('node:fs').readFileSync(0, 'utf8')).map(listen)).then(ports => process.stdout.write(JSON.stringify(ports) + '\\n'));
`;
const soundAnswer = ['HTTP/1.1 200 OK\r\nx-backend-seal: s\r\ncontent-length: 2\r\n\r\nok', ''] as const;

/** Starts servers in a process of their own. @returns the process and the addresses of the servers. */
async function start(answers: ReadonlyArray<readonly [string, string]>): Promise<{child: ChildProcess; addresses: readonly string[]}> {
	const child = spawn(process.execPath, ['-e', source], {stdio: ['pipe', 'pipe', 'inherit']});
	child.stdin.end(JSON.stringify(answers));
	const [line] = await once(child.stdout, 'data') as [Uint8Array];
	return {child, addresses: (JSON.parse(String(line)) as number[]).map(port => `127.0.0.1:${port}`)};
}

/** Backend servers outside of the process of the test: a sound one, and one for each of some answers without an end. */
export class EndlessServers {
	/** Starts the servers. */
	static async open(answers: readonly EndlessAnswer[]): Promise<EndlessServers> {
		const sound = await start([soundAnswer]);
		const faulty = await start(answers.map(answer => endlessAnswers[answer]));
		return new EndlessServers([sound.child, faulty.child], sound.addresses[0]!, faulty.addresses);
	}

	private constructor(private readonly _children: readonly ChildProcess[], readonly soundAddress: string, readonly faultyAddresses: readonly string[]) {}

	/** Ends the processes of the servers. */
	close(): void {
		for (const child of this._children) {
			child.kill('SIGKILL');
		}
	}
}
