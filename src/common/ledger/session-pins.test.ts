import {expect, it} from 'vitest';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {openRecord} from '../../testing/ledger-records.js';
import {SessionVersionError} from './ledger-errors.js';
import {RequestLedger} from './request-ledger.js';
import {SessionPins, type VersionChoice} from './session-pins.js';

const session = {customer: 'pulso', service: 'summaries', session: 's'};

class Hosts {
	readonly fixture = new LedgerFixture(21);
	/** Versions that must not be used, known to all hosts, with the reason. */
	readonly refused = new Map<string, string>();

	start(entry: string, maxSessions?: number): SessionPins {
		return new SessionPins(this.fixture.client(entry), this.fixture.clock, maxSessions);
	}

	choice(...preferred: readonly string[]): VersionChoice {
		return {
			refusal: ref => this.refused.get(ref),
			choose: () => preferred.find(ref => !this.refused.has(ref))!,
		};
	}
}

// Guards against a session that uses two versions because two entry hosts received its first requests.
it('gives two entry hosts with different choices the same version', async () => {
	const hosts = new Hosts();
	const [a, b] = [hosts.start('e1'), hosts.start('e2')];
	const refs = await hosts.fixture.waitFor(Promise.all([a.resolve(session, hosts.choice('v1')), b.resolve(session, hosts.choice('v2'))]));
	expect(new Set(refs).size).toBe(1);
});

// Guards against a commit for each request of a session, and against several pins in flight for one session.
it('sends one pin to the ledger per session', async () => {
	const hosts = new Hosts();
	const pins = hosts.start('e1');
	const many = Array.from({length: 20}, async () => pins.resolve(session, hosts.choice('v1')));
	expect(new Set(await hosts.fixture.waitFor(Promise.all(many)))).toEqual(new Set(['v1']));
	await hosts.fixture.waitFor(pins.resolve(session, hosts.choice('v2')));
	expect(hosts.fixture.log.entries).toHaveLength(1);
});

// Guards against a session that stays on a withdrawn version, or whose version is replaced more than once or without a cause.
it('replaces a withdrawn version once, with the cause', async () => {
	const hosts = new Hosts();
	const [a, b] = [hosts.start('e1'), hosts.start('e2')];
	await hosts.fixture.waitFor(a.resolve(session, hosts.choice('v1', 'v2')));
	await hosts.fixture.waitFor(b.resolve(session, hosts.choice('v1', 'v3')));
	hosts.refused.set('v1', 'withdrawn');
	const refs = await hosts.fixture.waitFor(Promise.all([
		...Array.from({length: 5}, async () => a.resolve(session, hosts.choice('v1', 'v2'))),
		...Array.from({length: 5}, async () => b.resolve(session, hosts.choice('v1', 'v3'))),
	]));
	expect(new Set(refs).size).toBe(1);
	expect([...hosts.fixture.state.pins.changes]).toMatchObject([{from: 'v1', to: refs[0], cause: 'withdrawn'}]);
});

// Guards against two entry hosts with different documents that replace each other's version for ever.
it('fails when the version in force must not be used either', async () => {
	const hosts = new Hosts();
	const [a, b] = [hosts.start('e1'), hosts.start('e2')];
	await hosts.fixture.waitFor(a.resolve(session, hosts.choice('v1')));
	const conflicting: VersionChoice = {refusal: ref => ref === 'v1' ? 'not-allowed' : 'quarantined', choose: () => 'v2'};
	await expect(hosts.fixture.waitFor(b.resolve(session, conflicting))).rejects.toThrow(SessionVersionError);
	expect([...hosts.fixture.state.pins.changes]).toHaveLength(1);
});

// Guards against an entry host that continues to use a version that another one has replaced.
it('updates its cache when the result of an open contains a replaced pin', async () => {
	const hosts = new Hosts();
	const {fixture} = hosts;
	const [a, b] = [hosts.start('e1'), hosts.start('e2')];
	await fixture.waitFor(a.resolve(session, hosts.choice('v1')));
	await fixture.waitFor(b.resolve(session, {refusal: ref => ref === 'v1' ? 'quarantined' : undefined, choose: () => 'v2'}));
	const ledger = new RequestLedger(fixture.client('e1', 2), fixture.clock);
	ledger.onPinReplaced(replaced => {
		a.applyReplacement(replaced.session, replaced.ref);
	});
	await ledger.begin(openRecord('r1', {session: 's'}));
	await fixture.clock.advance(100);
	expect(await fixture.waitFor(a.resolve(session, hosts.choice('v1')))).toBe('v2');
});

// Guards against a cached pin that is still used after the pin in the ledger has expired.
it('asks the ledger again for a pin that was not used for 12 hours', async () => {
	const hosts = new Hosts();
	const pins = hosts.start('e1');
	await hosts.fixture.waitFor(pins.resolve(session, hosts.choice('v1')));
	await hosts.fixture.clock.advance(12.1 * 3_600_000);
	expect(await hosts.fixture.waitFor(pins.resolve(session, hosts.choice('v2')))).toBe('v1');
	expect(hosts.fixture.log.entries).toHaveLength(2);
});

// Guards against a cache that grows with the number of sessions, and against one that evicts sessions in use.
it('keeps the most recently used sessions', async () => {
	const hosts = new Hosts();
	const pins = hosts.start('e1', 2);
	for (const name of ['a', 'b', 'a', 'c', 'a']) {
		// eslint-disable-next-line no-await-in-loop -- the order of use matters
		await hosts.fixture.waitFor(pins.resolve({...session, session: name}, hosts.choice('v1')));
	}

	expect(pins.size).toBe(2);
	expect(hosts.fixture.log.entries).toHaveLength(3);
});
