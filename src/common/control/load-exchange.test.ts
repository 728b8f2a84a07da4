import {expect, it} from 'vitest';
import {idleLoad, testServer} from '../../testing/control-cluster.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {type BackendServer} from './backend-server.js';
import {LoadExchange} from './load-exchange.js';
import {toLoadTuple} from './load-tuple.js';

// Guards against sending the load of an earlier incarnation, an older report, or the same report twice.
it('sends each daemon the latest load of the current incarnation once', () => {
	const clock = new ManualClock();
	const servers = new Map<string, BackendServer>([['b1', testServer('b1', 2)]]);
	const subset = {digest: 'd', ids: ['b1']};
	const exchange = new LoadExchange({subset: () => subset}, {recordAnnouncement: () => undefined}, {backendServers: servers, entryHosts: new Map()}, clock);
	const sender = {host: 'e1', incarnation: 1};
	const receive = (incarnation: number, ageMs: number, running: number) => {
		exchange.receive(sender, {
			subsetDigest: 'd', loads: [toLoadTuple({
				...idleLoad, id: 'b1', incarnation, ageMs, running,
			})],
		});
	};

	const running = () => exchange.reply(sender)!.loads.map(tuple => tuple[3]);
	receive(1, 0, 11);
	expect(running()).toEqual([]);
	receive(2, 500, 21);
	receive(1, 0, 12);
	expect(running()).toEqual([21]);
	expect(running()).toEqual([]);
	receive(2, 900, 22);
	expect(running()).toEqual([]);
	receive(2, 100, 23);
	expect(running()).toEqual([23]);
	exchange.dispose();
});
