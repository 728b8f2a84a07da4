/** Drops the first items of a map until it has at most `size`. A map whose items are inserted again with each use drops the least recent ones. */
export function dropOldest(map: Map<unknown, unknown>, size: number): void {
	for (const key of map.keys()) {
		if (map.size <= size) {
			return;
		}

		map.delete(key);
	}
}

/** Sets an item of such a map as the most recent one, and drops the least recent ones above `size`. */
export function setNewest<Key, Value>(map: Map<Key, Value>, key: Key, value: Value, size: number): void {
	map.delete(key);
	map.set(key, value);
	dropOldest(map, size);
}
