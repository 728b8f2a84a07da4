type Block = {sum: number; weight: number; size: number};

/** Weighted non-decreasing least-squares fit (pool adjacent violators). Weights must be positive. */
export function isotonic(values: readonly number[], weights: readonly number[]): number[] {
	const blocks: Block[] = [];
	for (const [index, value] of values.entries()) {
		let block: Block = {sum: value * weights[index]!, weight: weights[index]!, size: 1};
		for (let last = blocks.at(-1); last && last.sum / last.weight >= block.sum / block.weight; last = blocks.at(-1)) {
			blocks.pop();
			block = {sum: last.sum + block.sum, weight: last.weight + block.weight, size: last.size + block.size};
		}

		blocks.push(block);
	}

	const fitted: number[] = [];
	for (const {sum, weight, size} of blocks) {
		for (let count = 0; count < size; count++) {
			fitted.push(sum / weight);
		}
	}

	return fitted;
}
