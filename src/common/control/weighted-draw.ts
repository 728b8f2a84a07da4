import {hashString} from '../base/hash-string.js';

/** An item that may be drawn, in a group of items. */
export interface Weighted {
	readonly name: string;
	readonly group: string;
	readonly weight: number;
}

/** An undecided item: one of the items or the undecided one of an earlier comparison, with its probability. */
type Undecided = {readonly slot: number; readonly probability: number};
type Leaf = Undecided & {readonly key: number};

/** Comparison of two undecided items, of which one wins and the other loses. */
type Comparison = {
	readonly one: number;
	readonly other: number;
	/** Probability that `one` wins. */
	readonly share: number;
	/** Whether the winner is drawn and the loser remains undecided; otherwise the loser is not drawn and the winner remains. */
	readonly drawsWinner: boolean;
	/** Two code units that identify the comparison, for the hash. */
	readonly place: string;
};

/** Minimum number of drawn items: a caller that cannot reach one address has two others, and no wrong weight sends all callers to one host. */
const minDrawn = 3;
/** Tolerance on sums of probabilities, which are rounded. */
const tolerance = 1e-9;
const keyRange = 2 ** 32;

/**
Draws items, each with a probability proportional to its weight. A draw depends on its seed only and changes little when
items come and go.

The number of items is the sum of the weights relative to the largest one, at most `maxDrawn`. Items of equal weight are
therefore all drawn when there are at most `maxDrawn` of them. A number that is not an integer is rounded up or down, and
so is the number of items of each group.

Uses the pivotal method of sampling: two undecided items are compared, which decides one of them and leaves the other with the
rest of their probabilities, so each item keeps its probability exactly. The items of a group are compared along a binary
tree over the hashes of their names; an item that comes or goes affects only the comparisons on its path. The probabilities
are the same in all draws, so a draw takes one hash per comparison.
*/
export class WeightedDraw<Item extends Weighted> {
	private readonly _certain: Item[] = [];
	private readonly _comparisons: Comparison[] = [];
	private readonly _last: Undecided | undefined;

	constructor(private readonly _items: readonly Item[], maxDrawn: number) {
		const probabilities = drawProbabilities(_items.map(({weight}) => weight), maxDrawn);
		const groups = new Map<string, {total: number; leaves: Leaf[]}>();
		for (const [slot, item] of _items.entries()) {
			const probability = probabilities[slot]!;
			const group = groups.get(item.group) ?? {total: 0, leaves: []};
			groups.set(item.group, group);
			group.total += probability;
			if (probability > 1 - tolerance) {
				this._certain.push(item);
			} else {
				group.leaves.push({slot, probability, key: hashString(item.name)});
			}
		}

		// The largest group comes last: the others together then have an item if one is due to them.
		const ordered = [...groups].toSorted(([name, {total}], [otherName, other]) => total - other.total || (name < otherName ? -1 : 1));
		for (const [name, {leaves}] of ordered) {
			this._last = this._compare(this._last, this._tree(leaves, name, 0, keyRange), name);
		}
	}

	/** Returns the items that are drawn for a seed. */
	draw(seed: number): Item[] {
		const slots: Item[] = [...this._items];
		const drawn = [...this._certain];
		for (const {one, other, share, drawsWinner, place} of this._comparisons) {
			const isOne = numberOf(place, seed) < share;
			const winner = slots[isOne ? one : other]!;
			if (drawsWinner) {
				drawn.push(winner);
			}

			slots.push(drawsWinner ? slots[isOne ? other : one]! : winner);
		}

		if (this._last && numberOf('', seed) < this._last.probability) {
			drawn.push(slots[this._last.slot]!);
		}

		return drawn;
	}

	/** Compares the items of a group whose keys are in a range. */
	private _tree(leaves: readonly Leaf[], group: string, low: number, size: number): Undecided | undefined {
		if (leaves.length <= 1) {
			return leaves[0];
		}

		if (size <= 1) {
			// Names with equal hashes.
			let rest: Undecided | undefined;
			for (const leaf of leaves) {
				rest = this._compare(rest, leaf, this._items[leaf.slot]!.name);
			}

			return rest;
		}

		const half = size / 2;
		const middle = low + half;
		const lower = this._tree(leaves.filter(({key}) => key < middle), group, low, half);
		const upper = this._tree(leaves.filter(({key}) => key >= middle), group, middle, half);
		return this._compare(lower, upper, `${group}/${low}/${size}`);
	}

	/** Adds a comparison of two items. @returns the item that it leaves undecided. */
	private _compare(one: Undecided | undefined, other: Undecided | undefined, place: string): Undecided | undefined {
		if (!one || !other) {
			return one ?? other;
		}

		const sum = one.probability + other.probability;
		const drawsWinner = sum > 1 - tolerance;
		this._comparisons.push({
			one: one.slot,
			other: other.slot,
			share: drawsWinner ? (1 - other.probability) / (2 - sum) : one.probability / sum,
			drawsWinner,
			place: codeUnits(hashString(place)),
		});
		const probability = drawsWinner ? sum - 1 : sum;
		return probability < tolerance ? undefined : {slot: this._items.length + this._comparisons.length - 1, probability};
	}
}

function codeUnits(hash: number): string {
	const range = 2 ** 16;
	return String.fromCodePoint(Math.floor(hash / range)) + String.fromCodePoint(hash % range);
}

/** Returns a number in (0, 1). */
function numberOf(place: string, seed: number): number {
	return (hashString(place, seed) + 0.5) / keyRange;
}

/** Returns probabilities of at most 1 in proportion to the weights. */
function drawProbabilities(weights: readonly number[], maxDrawn: number): number[] {
	const largest = Math.max(...weights);
	const relative = weights.map(weight => weight / largest);
	const total = relative.reduce((sum, weight) => sum + weight, 0);
	const sum = Math.min(weights.length, maxDrawn, Math.max(minDrawn, total));
	// Items whose probability would exceed 1 are certain, and the others share the rest.
	let certain = 0;
	let rest = total;
	const descending = relative.toSorted((a, b) => b - a);
	while (certain < sum && (sum - certain) * descending[certain]! > rest) {
		rest -= descending[certain]!;
		certain++;
	}

	const scale = (sum - certain) / rest;
	const smallestCertain = certain === 0 ? Infinity : descending[certain - 1]!;
	return relative.map(weight => weight >= smallestCertain ? 1 : Math.min(1, scale * weight));
}
