import {type DocumentIssue} from '../common/documents/document-error.js';
import {type CheckedDocument, type CheckedFormat} from './checked-format.js';
import {CliError} from './cli-error.js';
import {type CommandContext} from './command-context.js';
import {documentDifferences, type FieldDifference} from './document-differences.js';
import {exitCode} from './exit-code.js';
import {serviceFormat} from './service-format.js';
import {formatTable} from './table.js';

/** Options of `catkinbeam check`. */
export interface CheckOptions {
	/** Whether to compare the document with the one in force. */
	readonly against?: boolean;
}

/** Checks a document before it is sent: errors, parts without effect and, if asked for, differences from the document in force. */
export async function check(ctx: CommandContext, file: string, {against = false}: CheckOptions): Promise<void> {
	const text = await ctx.readFile(file);
	const format = ctx.formats.find(format => format.matches(text)) ?? serviceFormat;
	const checked = format.check(text);
	const {errors} = checked;
	const comparison = against && errors.length === 0 ? await compare(ctx, format, checked) : undefined;
	const warnings = [...checked.warnings, ...comparison?.warnings ?? []];
	const issues = [...rowsOf('error', errors), ...rowsOf('warning', warnings)];
	ctx.printer.value({
		file, isValid: errors.length === 0, issues, differences: comparison?.differences,
	}, [
		`${file}: ${checked.title} is ${errors.length > 0 ? 'not valid' : `valid, ${count(warnings.length, 'warning')}`}`,
		...(issues.length > 0 ? [formatTable(['level', 'line', 'path', 'message'], issues)] : []),
		...(comparison ? differenceLines(comparison.differences) : []),
	].join('\n'));
	if (errors.length > 0) {
		throw new CliError(exitCode.invalid, `${file} has ${count(errors.length, 'error')}`, 'Mend the document and run "catkinbeam check" again.');
	}
}

async function compare(ctx: CommandContext, format: CheckedFormat, {value}: CheckedDocument): Promise<{differences: FieldDifference[]; warnings: readonly DocumentIssue[]}> {
	const inForce = await format.readInForce(ctx, value);
	const differences = documentDifferences(inForce, value);
	return {differences, warnings: inForce === undefined || differences.length === 0 ? [] : format.compare?.(inForce, value) ?? []};
}

function differenceLines(differences: readonly FieldDifference[]): string[] {
	return differences.length === 0 ? ['no difference from the document in force'] : ['differences from the document in force:', formatTable(['path', 'present', 'submitted'], differences)];
}

function rowsOf(level: 'error' | 'warning', issues: readonly DocumentIssue[]) {
	return issues.map(({line, path, message}) => ({
		level, line, path, message: message.replaceAll(/\s+/gv, ' ').trim(),
	}));
}

function count(number: number, noun: string): string {
	return `${number === 0 ? 'no' : number} ${noun}${number === 1 ? '' : 's'}`;
}
