/** A field in which two documents differ. */
export interface FieldDifference {
	readonly path: string;
	readonly present: unknown;
	readonly submitted: unknown;
}

/** Returns the fields in which two JSON values differ, sorted by key at each level. */
export function documentDifferences(present: unknown, submitted: unknown, path = ''): FieldDifference[] {
	if (isObject(present) && isObject(submitted)) {
		const keys = [...new Set([...Object.keys(present), ...Object.keys(submitted)])].sort();
		return keys.flatMap(key => documentDifferences(present[key], submitted[key], Array.isArray(submitted) || Array.isArray(present) ? `${path}[${key}]` : `${path}${path && '.'}${key}`));
	}

	return JSON.stringify(present) === JSON.stringify(submitted) ? [] : [{path, present, submitted}];
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}
