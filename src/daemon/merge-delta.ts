/** Merges the delta of a chunk into a message: strings are concatenated, tool calls are merged by index. */
export function mergeDelta(message: Readonly<Record<string, unknown>>, delta: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const merged: Record<string, unknown> = {...message};
	for (const [key, value] of Object.entries(delta)) {
		const previous = merged[key];
		if (key !== 'role' && typeof previous === 'string' && typeof value === 'string') {
			merged[key] = previous + value;
		} else if (key === 'tool_calls' && Array.isArray(value)) {
			merged[key] = mergeToolCalls(Array.isArray(previous) ? previous : [], value);
		} else if (isRecord(previous) && isRecord(value)) {
			merged[key] = mergeDelta(previous, value);
		} else if (value !== null) {
			merged[key] = value;
		}
	}

	return merged;
}

function mergeToolCalls(previousCalls: readonly unknown[], deltas: readonly unknown[]): unknown[] {
	const merged = [...previousCalls];
	for (const delta of deltas) {
		if (isRecord(delta)) {
			const {index, ...rest} = delta;
			const position = typeof index === 'number' ? index : merged.length;
			const {id, type, ...appended} = rest;
			const identity = {...(id !== undefined && {id}), ...(type !== undefined && {type})};
			const previous = merged[position];
			merged[position] = {...mergeDelta(isRecord(previous) ? previous : {}, appended), ...identity};
		}
	}

	return merged;
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
