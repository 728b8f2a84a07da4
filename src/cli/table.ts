/** Formats rows as aligned columns with a header line; numbers are right-aligned. */
export function formatTable<Row extends {[Key in keyof Row]: unknown}>(columns: ReadonlyArray<keyof Row & string>, rows: readonly Row[]): string {
	const cells = rows.map(row => columns.map(column => formatCell(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
	const isNumeric = columns.map(column => rows.length > 0 && rows.every(row => typeof row[column] === 'number'));
	const format = (line: readonly string[]) => line.map((cell, index) => isNumeric[index] ? cell.padStart(widths[index]!) : cell.padEnd(widths[index]!)).join('  ').trimEnd();
	return [format(columns.map(column => column.toUpperCase())), ...cells.map(line => format(line))].join('\n');
}

function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '-';
	}

	if (typeof value === 'number' && !Number.isInteger(value)) {
		return value.toPrecision(4);
	}

	if (Array.isArray(value)) {
		return value.map(item => formatCell(item)).join(',');
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}
