import {afterEach, expect, it} from 'vitest';
import {endlessAnswers, type EndlessAnswer, EndlessServers} from '../testing/endless-servers.js';
import {SystemClock} from './system-clock.js';
import {HttpOrderClient} from './http-order-client.js';
import {HttpRatingClient} from './http-rating-client.js';

const maxMs = 1500;
/** Chunks are valid, so only the limit of the body ends them. */
const maxChunksMs = 6000;
let servers: EndlessServers | undefined;

afterEach(() => {
	servers?.close();
});

const cases = (Object.keys(endlessAnswers) as EndlessAnswer[]).flatMap(answer => (['order', 'rating'] as const).map(call => ({answer, call})));

// Guards against bytes without end that hold the event loop of a daemon until the timeout of a call, or for ever.
it.each(cases)('gives up the $call that is answered with $answer', async ({answer, call}) => {
	servers = await EndlessServers.open([answer]);
	const address = servers.faultyAddresses[0]!;
	const orders = new HttpOrderClient(undefined);
	const ratings = new HttpRatingClient(`http://${address}`, new SystemClock());
	const startedAt = performance.now();
	await expect(call === 'order'
		? orders.send({
			kind: 'load', server: {id: 's', address}, ref: 'm@1', fencing: 1,
		} as unknown as Parameters<HttpOrderClient['send']>[0])
		: ratings.rate({} as Parameters<HttpRatingClient['rate']>[0])).rejects.toThrow();
	const ms = performance.now() - startedAt;
	orders.dispose();
	ratings.dispose();
	expect(ms).toBeLessThan(answer === 'chunks of one byte' ? maxChunksMs : maxMs);
}, 20_000);
