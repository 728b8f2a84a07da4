/** Formats the path of a field in a document, for example `customers[0].name`. */
export function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : `${text && '.'}${String(part)}`;
	}

	return text;
}
