import {type EntryHost, knownCapacity} from './entry-host.js';
import {type Weighted, WeightedDraw} from './weighted-draw.js';

type WeightedEntry = Weighted & {readonly entry: EntryHost};

/** Draws lists from the entry hosts of one state of the directory, with probabilities in proportion to their capacities. */
export class EntryDraw {
	private readonly _weighted: readonly WeightedEntry[];
	private readonly _draw: WeightedDraw<WeightedEntry>;

	constructor(private readonly _entries: readonly EntryHost[], maxLength: number) {
		const known = _entries.flatMap(entry => knownCapacity(entry) ?? []);
		// Releases before capacities were announced state none.
		const mean = known.length === 0 ? 1 : known.reduce((sum, capacity) => sum + capacity, 0) / known.length;
		this._weighted = _entries.map(entry => ({
			name: entry.host, group: entry.zone, weight: knownCapacity(entry) ?? mean, entry,
		}));
		this._draw = new WeightedDraw(this._weighted, maxLength);
	}

	/** Whether the lists are drawn from these entry hosts, which the directory never changes in place. */
	isOf(entries: readonly EntryHost[]): boolean {
		return entries.length === this._entries.length && entries.every((entry, index) => entry === this._entries[index]);
	}

	/** Draws a list. It has hosts of at least two zones if there are any, so that callers still have hosts when one zone fails. */
	draw(seed: number): EntryHost[] {
		const drawn = this._draw.draw(seed);
		const zone = drawn[0]?.group;
		const others = drawn.some(({group}) => group !== zone) ? [] : this._weighted.filter(({group}) => group !== zone);
		const [other] = new WeightedDraw(others, 1).draw(seed);
		return (other ? [...drawn.slice(0, -1), other] : drawn).map(({entry}) => entry);
	}
}
