import {formatTable} from './table.js';

/** Output streams of the command line. */
export interface Output {
	line(text: string): void;
	errorLine(text: string): void;
}

/** Prints results as tables, or as JSON for scripts. */
export class ResultPrinter {
	constructor(private readonly _output: Output, private readonly _isJson: boolean) {}

	/** Prints rows as a table with the given columns, or as JSON with all fields. */
	rows<Row extends {[Key in keyof Row]: unknown}>(columns: ReadonlyArray<keyof Row & string>, rows: readonly Row[]): void {
		this._output.line(this._isJson ? JSON.stringify(rows) : formatTable(columns, rows));
	}

	/** Prints `rows` as a table, or `value` as JSON. */
	table(value: unknown, columns: readonly string[], rows: ReadonlyArray<Readonly<Record<string, unknown>>>): void {
		this._output.line(this._isJson ? JSON.stringify(value) : formatTable(columns, rows));
	}

	/** Prints `text`, or `value` as JSON. */
	value(value: unknown, text: string): void {
		this._output.line(this._isJson ? JSON.stringify(value) : text);
	}
}
