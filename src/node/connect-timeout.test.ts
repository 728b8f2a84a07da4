import {Agent} from 'undici';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {PeerUnreachableError} from '../common/base/peer-errors.js';
import {peerMethod} from '../common/base/peer-method.js';
import {UnacceptingListener} from '../testing/unaccepting-listener.js';
import {HttpPeerTransport} from './http-peer-transport.js';
import {timedConnector} from './timed-connector.js';

const method = peerMethod<Record<string, never>, string>('test.method');
/** Time in milliseconds after which a call counts as late. */
const lateMs = 450;
let listener: UnacceptingListener;
let transport: HttpPeerTransport;

beforeEach(async () => {
	listener = await UnacceptingListener.open();
	transport = new HttpPeerTransport('caller', peer => peer, undefined);
});

afterEach(async () => {
	transport.dispose();
	await listener.close();
});

async function outcomeOf(call: Promise<unknown>): Promise<unknown> {
	try {
		return await call;
	} catch (error) {
		return error;
	}
}

async function late(): Promise<string> {
	return new Promise(resolve => {
		setTimeout(resolve, lateMs, 'late');
	});
}

// Guards against a call to a host without power that lasts until the connect timeout, so that a read ends before it has asked another host.
it.each([50, 200])('ends a call to a host that accepts no connection after its timeout of %i ms', async timeoutMs => {
	const calls = Array.from({length: 3}, async () => outcomeOf(transport.call(listener.address, method, {}, timeoutMs)));
	const outcomes = await Promise.all(calls.map(async call => Promise.race([call, late()])));
	for (const outcome of outcomes) {
		expect(outcome).toBeInstanceOf(PeerUnreachableError);
	}

	await Promise.all(calls);
});

// Guards against an attempt at a backend server without power that fails only after up to twice the connect timeout, too late for another server.
it.each([100, 300])('ends a connection that does not open after %i ms', async timeoutMs => {
	const agent = new Agent({connect: timedConnector(timeoutMs)});
	const outcome = await Promise.race([outcomeOf(agent.request({origin: `http://${listener.address}`, path: '/', method: 'GET'})), late()]);
	await agent.destroy();
	expect(outcome).toMatchObject({code: 'UND_ERR_CONNECT_TIMEOUT'});
});
