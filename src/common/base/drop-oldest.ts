/** Drops the first items of a map until it has at most `size`. A map whose items are inserted again with each use drops the least recent ones. */
export function dropOldest(map: Map<unknown, unknown>, size: number): void {
	for (const key of map.keys()) {
		if (map.size <= size) {
			return;
		}

		map.delete(key);
	}
}
