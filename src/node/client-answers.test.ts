import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {type Disposable} from '../common/base/disposable.js';
import {type EngineOrder} from '../common/orders/engine-order.js';
import {type RatingRequest} from '../common/routing/rating-client.js';
import {type EndlessAnswer, endlessAnswers, EndlessServers} from '../testing/endless-servers.js';
import {HeldLoopMeter} from '../testing/held-loop-meter.js';
import {HttpOrderClient} from './http-order-client.js';
import {HttpRatingClient} from './http-rating-client.js';
import {SystemClock} from './system-clock.js';

const callCount = 40;
const maxPauseMs = 50;
const callIntervalMs = 25;
const maxWaitMs = 1500;
const opened: Disposable[] = [];
let servers: EndlessServers | undefined;

afterEach(() => {
	for (const client of opened.splice(0)) {
		client.dispose();
	}

	servers?.close();
});

/** Clients of one server each. */
const clients = {
	rating(address: string) {
		const client = new HttpRatingClient(`http://${address}`, new SystemClock());
		opened.push(client);
		return async () => client.rate({} as unknown as RatingRequest);
	},
	order(address: string) {
		const client = new HttpOrderClient(undefined);
		opened.push(client);
		return async () => client.send({
			kind: 'load', server: {id: 's', address}, ref: 'm', fencing: 1,
		} as unknown as EngineOrder);
	},
} as const;

const invalidAnswers: readonly EndlessAnswer[] = ['a status line', 'headers', 'headers without a value', 'small interim answers', 'a chunk extension', 'zeros of a chunk size', 'trailers'];
const cases = Object.keys(clients).flatMap(client => invalidAnswers.map(answer => ({client: client as keyof typeof clients, answer})));

// Guards against a rating service or an engine whose answer to a call is no answer and takes the time of the host until its timeout.
it.each(cases)('fails a $client call soon when its answer consists of $answer without an end', async ({client, answer}) => {
	expect(Object.keys(endlessAnswers)).toContain(answer);
	servers = await EndlessServers.open([answer]);
	const meter = new HeldLoopMeter();
	const startedAt = performance.now();
	const results = await Promise.allSettled(Array.from({length: callCount}, async (_, index) => {
		await delay(index * callIntervalMs);
		// A client of its own, because one that has failed several times makes no more calls for a while.
		return clients[client](servers!.faultyAddresses[0]!)();
	}));
	const waitedMs = performance.now() - startedAt - (callCount * callIntervalMs);
	meter.dispose();
	expect(results.every(({status}) => status === 'rejected')).toBe(true);
	expect(waitedMs).toBeLessThan(maxWaitMs);
	expect(meter.longestMs).toBeLessThan(maxPauseMs);
}, 20_000);
