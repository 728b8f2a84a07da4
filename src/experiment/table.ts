/** Formats rows as columns of equal width, the first left-aligned and the others right-aligned. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ').trimEnd()).join('\n');
}
