import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend, testTable} from '../../testing/forwarder-fixture.js';
import {type RecordingSink} from '../../testing/recording-sink.js';
import {answerHead} from '../../testing/scripted-port.js';
import {type Repetition} from './routing-config.js';

type Fixture = ReturnType<typeof createForwarderFixture>;

const servers = [testBackend('a'), testBackend('bb'), testBackend('ccc')];
const encoder = new TextEncoder();
const generation = {
	model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [],
};
const shop = {name: 'shop', keys: ['key'], priority: 1};
const hosts = ['h1', 'h2'].map(host => ({
	host, incarnation: 1, address: `${host}:1`, peerAddress: `${host}:1`, zone: 'z', leaving: false,
}));

/** A wait between a decision about a request and a write. */
interface Wait {
	readonly kind: Repetition;
	/** Sends a request up to the wait. @returns its sink and what ends the wait. */
	readonly begin: (fixture: Fixture) => {sink: RecordingSink; end: () => Promise<void> | void};
}

function endConnectionWait({port, peerPort}: Fixture, isPeer = false): void {
	const {events} = (isPeer ? peerPort : port).attempts.at(-1)!;
	if (!events.mayStart()) {
		events.onFailure({isUnsent: true, reason: 'withdrawn'});
	}
}

const waits: Readonly<Record<string, Wait>> = {
	'lease queue': {
		kind: 'once', begin({lease, send, forwarder, clock}) {
			const {expiresAt} = lease;
			lease.expiresAt = 0;
			const sink = send({deadlineMs: 6000});
			return {
				sink, async end() {
					lease.expiresAt = lease.expiresAt === -1 ? -1 : expiresAt;
					forwarder.forwardWaiting();
					await clock.advance(lease.expiresAt === -1 ? 2000 : 0);
				},
			};
		},
	},
	'confirmation queue': {
		kind: 'once', begin({lease, send, forwarder, clock, replaceTable, route}) {
			const table = testTable([route], [shop]);
			replaceTable(testTable([], [shop]));
			lease.currentUntil = -10_000;
			const sink = send();
			replaceTable(table);
			return {
				sink, async end() {
					lease.currentUntil = Infinity;
					forwarder.forwardWaiting();
					await clock.advance(500);
				},
			};
		},
	},
	'queue for a connection': {
		kind: 'once', begin({replaceTable, route, send, port, clock}) {
			replaceTable(testTable([route], [shop], 1));
			const sink = Array.from({length: servers.length + 1}, () => send({deadlineMs: 5000}))[3];
			const running = port.attempts.splice(0);
			return {
				sink: sink!, async end() {
					for (const {events} of running) {
						events.onHead(answerHead({status: 500, length: 0}));
						events.onEnd();
					}

					await clock.advance(100);
				},
			};
		},
	},
	connection: {
		kind: 'once', begin(fixture) {
			const sink = fixture.send();
			return {
				sink, end() {
					endConnectionWait(fixture);
				},
			};
		},
	},
	'connection to another host': {
		kind: 'once', begin(fixture) {
			fixture.peers.update(hosts);
			fixture.reach.isLost = () => true;
			const sink = fixture.send();
			return {
				sink, end() {
					endConnectionWait(fixture, true);
				},
			};
		},
	},
	retry: {
		kind: 'idempotent', begin({send, port}) {
			const sink = send();
			const {events} = port.attempts[0]!;
			return {
				sink, end() {
					events.onFailure({isUnsent: false, reason: 'reset'});
				},
			};
		},
	},
	'silence of a server': {
		kind: 'idempotent', begin({send, clock}) {
			return {
				sink: send(), end: async () => clock.advance(600),
			};
		},
	},
	resumption: {
		kind: 'stream', begin({send, port}) {
			const sink = send();
			const {events} = port.attempts[0]!;
			events.onHead(answerHead());
			events.onData(encoder.encode('id: 1\ndata: x\n\n'));
			return {
				sink, end() {
					events.onFailure({isUnsent: false, reason: 'reset'});
				},
			};
		},
	},
	'escalation, before the larger model is asked': {
		kind: 'stream', begin({send, port}) {
			const sink = send({generation});
			const {events} = port.attempts[0]!;
			return {
				sink, end() {
					events.onHead(answerHead({confidence: 0}));
				},
			};
		},
	},
	'held answer, while the larger model has no connection': {
		kind: 'stream', begin(fixture) {
			const sink = fixture.send({generation});
			fixture.port.attempts[0]!.events.onHead(answerHead({confidence: 0}));
			return {
				sink, end() {
					endConnectionWait(fixture);
				},
			};
		},
	},
	'caller that does not read': {
		kind: 'stream', begin({send, port}) {
			const sink = send();
			const {events} = port.attempts[0]!;
			events.onHead(answerHead());
			sink.isKeepingUp = false;
			events.onData(encoder.encode('id: 1\ndata: x\n\n'));
			return {
				sink, end() {
					sink.onDrain?.();
					events.onData(encoder.encode('id: 2\ndata: x\n\n'));
					events.onEnd();
				},
			};
		},
	},
};

const changes: Record<string, (fixture: Fixture, sink: RecordingSink) => void> = {
	'all servers but one are draining'({pool, port, clock, peers}) {
		const used = new Set(port.attempts.map(({terms}) => terms.serverId));
		const left = servers.find(({id}) => !used.has(id))!;
		pool.update(servers.map(server => ({...server, isDraining: server !== left})), clock.now());
		peers.update(hosts.filter(({host}) => !used.has(host)));
	},
	'all servers but one are in evacuated zones'({pool, port, clock}) {
		const used = new Set(port.attempts.map(({terms}) => terms.serverId));
		const left = servers.find(({id}) => !used.has(id))!;
		pool.update(servers.map(server => ({...server, zone: server === left ? 'z' : 'y'})), clock.now(), new Set(['y']));
	},
	'all servers are in evacuated zones'({pool, clock}) {
		pool.update(servers, clock.now(), new Set(['z']));
	},
	'the route is removed'({replaceTable}) {
		replaceTable(testTable([], [shop]));
	},
	'the key is revoked'({replaceTable, route}) {
		replaceTable(testTable([route], [{...shop, keys: ['other']}]));
	},
	'the lease ends'({lease}) {
		lease.expiresAt = -1;
	},
	'the caller leaves'(_, sink) {
		sink.onDisconnect?.();
	},
};

/** What comes of a request for each change, in the order of `changes`. */
const outcomes: Readonly<Record<string, readonly string[]>> = {
	'lease queue': ['sent to an open server', 'sent to an open server', '503 no', '404 no', '401 no', '503 no', 'nothing'],
	'confirmation queue': ['sent to an open server', 'sent to an open server', '503 no', '404 no', '401 no', '503 no', 'nothing'],
	'queue for a connection': ['sent to an open server', 'sent to an open server', '503 no', '404 no', '401 no', '503 no', 'nothing'],
	connection: ['sent to an open server', 'sent to an open server', '503 no', '404 no', '401 no', '503 no', 'nothing'],
	'connection to another host': ['written', 'written', 'written', '404 no', '401 no', '503 no', 'nothing'],
	retry: ['sent to an open server', 'sent to an open server', '502 unknown', '502 unknown', '502 unknown', '502 unknown', 'nothing'],
	'silence of a server': ['sent to an open server', 'sent to an open server', 'nothing', 'nothing', 'nothing', 'nothing', 'nothing'],
	resumption: ['sent to an open server', 'sent to an open server', 'cut', 'cut', 'cut', 'cut', 'nothing'],
	'escalation, before the larger model is asked': ['sent to an open server', 'sent to an open server', 'answer begun', 'answer begun', 'answer begun', 'answer begun', 'nothing'],
	'held answer, while the larger model has no connection': ['sent to an open server', 'sent to an open server', 'answer begun', 'answer begun', 'answer begun', 'answer begun', 'nothing'],
	'caller that does not read': ['answered', 'answered', 'answered', 'answered', 'answered', 'answered', 'nothing'],
};

const cases = Object.entries(waits).flatMap(([wait, {kind, begin}]) => Object.entries(changes).map(([name, change], index) => ({
	wait, kind, begin, name, change, outcome: outcomes[wait]![index]!,
})));

// Guards against a write by a decision that has aged: each wait between a decision and a write, with each change in between.
it.each(cases)('$wait, $name: $outcome', async ({kind, begin, change, outcome}) => {
	const fixture = createForwarderFixture(kind, {models: kind === 'stream' ? ['small', 'large'] : []}, servers);
	const {port, peerPort, pool} = fixture;
	const {sink, end} = begin(fixture);
	const [before, handedOver] = [port.attempts.length, peerPort.attempts.length];
	change(fixture, sink);
	await end();
	const sent = port.attempts.slice(before).filter(({isAborted}) => !isAborted);
	const describe = () => {
		if (sent.length > 0) {
			return sent.every(({terms}) => pool.openServers('s').some(({server}) => server.id === terms.serverId)) ? 'sent to an open server' : 'sent to a server that is not open';
		}

		if (sink.refusal) {
			return `${sink.refusal.status} ${sink.refusal.ran}`;
		}

		if (sink.isCut || sink.isEnded) {
			return sink.isCut ? 'cut' : 'answered';
		}

		return outcome !== 'nothing' && sink.isStarted ? 'answer begun' : (peerPort.attempts.slice(handedOver - 1).some(({isAborted}) => !isAborted) ? 'written' : 'nothing');
	};

	expect(describe()).toBe(outcome);
	expect(sent.length).toBeLessThanOrEqual(1);
});
