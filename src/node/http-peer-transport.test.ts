import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../common/base/peer-errors.js';
import {peerMethod} from '../common/base/peer-method.js';
import {LeaderClient} from '../common/control/leader-client.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {HttpPeerTransport} from './http-peer-transport.js';
import {SystemClock} from './system-clock.js';

const method = peerMethod<{text: string}, string>('test.echo');
const servers: Server[] = [];
const transports: HttpPeerTransport[] = [];

afterEach(() => {
	for (const transport of transports.splice(0)) {
		transport.dispose();
	}

	for (const server of servers.splice(0)) {
		server.closeAllConnections();
		server.close();
	}
});

function transport(): HttpPeerTransport {
	const created = new HttpPeerTransport('caller', peer => peer, undefined);
	transports.push(created);
	return created;
}

/** Starts a peer that behaves as `kind` says. @returns its address. */
async function peer(kind: 'good' | 'silent' | 'broken' | 'refusing'): Promise<string> {
	const peerTransport = transport();
	peerTransport.handle(method, async ({text}) => {
		if (kind === 'refusing') {
			throw new PeerCallError('refused', 'not-leader', {leader: 'other'});
		}

		return text;
	});
	const server = createServer((req, res) => {
		let body = '';
		req.on('data', chunk => {
			body += String(chunk);
		});
		req.on('end', async () => {
			if (kind === 'broken') {
				res.writeHead(500).end();
			} else if (kind !== 'silent') {
				res.end(await peerTransport.receive(body, 'caller'));
			}
		});
	});
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against errors that lose their class in transit: callers try another peer only after a timeout or a failed connection.
it.each([
	{name: 'a peer that does not answer', kind: 'silent', expected: PeerTimeoutError},
	{name: 'a peer that answers with an HTTP error', kind: 'broken', expected: PeerUnreachableError},
	{name: 'a peer that refuses the call', kind: 'refusing', expected: PeerCallError},
	{name: 'an address on which nothing listens', kind: 'none', expected: PeerUnreachableError},
] as const)('reports $name', async ({kind, expected}) => {
	const address = kind === 'none' ? '127.0.0.1:1' : await peer(kind);
	await expect(transport().call(address, method, {text: 'x'}, 200)).rejects.toBeInstanceOf(expected);
});

// Guards against a caller that keeps calling a suspended leader, which never answers.
it.each(['silent', 'broken', 'none'] as const)('finds another peer when the first one is %s', async kind => {
	const bad = kind === 'none' ? '127.0.0.1:1' : await peer(kind);
	const good = await peer('good');
	for (const voters of [[bad, good], [good, bad]]) {
		const leaderClient = new LeaderClient(transport(), () => voters, new SystemClock(), new SeededRandom(1));
		await expect(leaderClient.request(method, {text: 'x'}, {attemptMs: 100, deadlineMs: 2000})).resolves.toBe('x'); // eslint-disable-line no-await-in-loop -- one client after the other
	}
});
