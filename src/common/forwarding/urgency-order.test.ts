import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend, testTable} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {PlaceQueue} from './place-queue.js';
import {UrgencyOrder} from './urgency-order.js';

/** Creates a queue; the names of its requests start with customer and urgency, and those with a `!` are blocked. */
function createQueue() {
	const queue = new PlaceQueue(new ManualClock(), () => new UrgencyOrder());
	const placed: string[] = [];
	let places = 0;
	const add = (name: string) => queue.add('s', () => {
		if (places === 0 || name.endsWith('!')) {
			return false;
		}

		places--;
		placed.push(name);
		return true;
	}, {urgency: Number(name[1]), customer: name[0]});
	const free = (count: number) => {
		places = count;
		queue.release('s');
	};

	return {placed, add, free};
}

it.each<{guard: string; waiting: string; placed: string}>([
	{guard: 'urgent requests that wait behind others', waiting: 'a2 a1 a0 b1 b0', placed: 'a0 b0 a1 b1 a2'},
	{guard: 'a customer with many requests that holds up the others', waiting: 'a1-1 a1-2 a1-3 b1-1 c1-1 b1-2', placed: 'a1-1 b1-1 c1-1 a1-2 b1-2 a1-3'},
	{guard: 'a blocked request that holds up the others or takes the turns of its customer', waiting: 'a1! a1-2 b1-1 a1-3 b1-2', placed: 'a1-2 b1-1 a1-3 b1-2'},
])('guards against $guard', ({waiting, placed}) => {
	for (const releases of [1, 10]) {
		const fixture = createQueue();
		for (const name of waiting.split(' ')) {
			fixture.add(name);
		}

		for (let count = 0; count < releases; count++) {
			fixture.free(10 / releases);
		}

		expect(fixture.placed.join(' ')).toBe(placed);
	}
});

// Guards against requests that get no connection while more urgent ones keep arriving, and against places lost to those that have left.
it('gives a share of the connections to the requests that have waited longest', () => {
	const {placed, add, free} = createQueue();
	add('b2-left')!.dispose();
	add('b2');
	add('c1');
	for (let count = 0; count < 80; count++) {
		add(`a0-${count}`);
		add(`d0-${count}`);
		free(1);
	}

	expect(placed.indexOf('b2')).toBeLessThan(8);
	expect(placed.indexOf('c1')).toBeLessThan(16);
	expect(placed.filter(name => name.startsWith('a')).length / placed.length).toBeCloseTo(0.5, 1);
});

// Guards against a forwarder that ignores the priority of customers, and against a change where the order is not set.
it.each([
	{name: 'by urgency', places: new PlaceQueue(new ManualClock(), () => new UrgencyOrder()), customers: ['late', 'urgent', 'late']},
	{name: 'by arrival', places: new PlaceQueue(new ManualClock()), customers: ['late', 'late', 'urgent']},
])('sends waiting requests $name', ({places, customers}) => {
	const {port, route, replaceTable, send} = createForwarderFixture('once', {priority: 2}, [testBackend('a')], {places});
	replaceTable(testTable([route], [{name: 'late', keys: ['l'], priority: undefined}, {name: 'urgent', keys: ['u'], priority: 1}], 1.25));
	for (const key of ['l', 'l', 'u']) {
		send({key});
	}

	for (let count = 0; count < 3; count++) {
		scriptedAnswers.good(port.attempts[count]!);
	}

	expect(port.attempts.map(({terms}) => terms.customer)).toEqual(customers);
});
