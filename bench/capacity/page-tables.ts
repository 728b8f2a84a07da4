import {readFile, writeFile} from 'node:fs/promises';

/** Table of a page; the first row has the headings. */
export type Table = ReadonlyArray<readonly string[]>;

function toMarkdown([head, ...rows]: Table): string {
	const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
	return [line(head!), line(head!.map(() => '---')), ...rows.map(row => line(row))].join('\n');
}

/** Replaces each table of a page between `<!-- capacity: name -->` and `<!-- end -->`; throws if the page lacks these comments. */
export async function writeTables(file: string, tables: ReadonlyMap<string, Table>): Promise<void> {
	let text = await readFile(file, 'utf8');
	for (const [name, table] of tables) {
		const start = `<!-- capacity: ${name} -->`;
		const from = text.indexOf(start);
		const to = text.indexOf('<!-- end -->', from);
		if (from === -1 || to === -1) {
			throw new Error(`${file} has no "${start}" followed by "<!-- end -->"`);
		}

		text = `${text.slice(0, from + start.length)}\n\n${toMarkdown(table)}\n\n${text.slice(to)}`;
	}

	await writeFile(file, text);
}
