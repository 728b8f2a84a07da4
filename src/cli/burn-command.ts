import {type BurnRow, type BurnSummary} from '../common/burn/burn-report.js';
import {burnPage} from './burn-page.js';
import {budgetEndText, causesText} from './burn-text.js';
import {type CommandContext} from './command-context.js';

/** Options of `catkinbeam report burn`. */
export interface BurnOptions {
	/** File to which an HTML page with plots is written instead of a table. */
	readonly html?: string;
}

/** Shows how fast each service consumes the error budgets of its objectives. */
export async function reportBurn(ctx: CommandContext, {html}: BurnOptions): Promise<void> {
	const summary = await ctx.client.read<BurnSummary>('burn');
	if (html !== undefined) {
		await ctx.writeFile(html, burnPage(summary));
		ctx.printer.value({file: html, rows: summary.rows.length}, `wrote ${html}`);
		return;
	}

	if (summary.rows.length === 0) {
		ctx.printer.value(summary, 'no service document has objectives');
		return;
	}

	ctx.printer.table(summary, ['service', 'objective', 'good', 'requests', 'bad', 'budgetLeft', '1h', '6h', '24h', '3d', 'alerts', 'budgetEnds', 'versions', 'customers'], summary.rows.map(row => tableRow(row, summary.at)));
}

function tableRow(row: BurnRow, now: number): Record<string, unknown> {
	const rates = Object.fromEntries(Object.entries(row.rates).map(([window, rate]) => [window, rate.toFixed(1)]));
	return {
		...rates,
		service: row.service,
		objective: row.objective,
		good: `${(100 * row.goodShare).toPrecision(4)}%`,
		requests: row.total,
		bad: row.bad,
		budgetLeft: `${(100 * row.budgetLeft).toFixed(1)}%`,
		alerts: row.alerts.join(',') || '-',
		budgetEnds: budgetEndText(row, now),
		versions: causesText(row.versions, 2),
		customers: causesText(row.customers, 2),
	};
}
