import {expect, it} from 'vitest';
import {EntryDraw} from './entry-draw.js';

// Guards against empty lists for all callers because one host, perhaps of another release, announces a capacity that is no positive number.
it.each([0, -1, Infinity, Number.NaN])('lists all hosts when one has the capacity %s', capacity => {
	const hosts = [1, 1, capacity].map((value, index) => ({
		host: `h${index}`, address: `a${index}`, peerAddress: `p${index}`, zone: 'z', incarnation: 1, leaving: false, capacity: value,
	}));
	expect(new EntryDraw(hosts, 64).draw(1).map(({host}) => host).sort()).toEqual(['h0', 'h1', 'h2']);
});
