import {type BurnRow, type BurnSummary} from '../common/burn/burn-report.js';
import {burnWindows} from '../common/burn/burn-windows.js';
import {budgetEndText, causesText} from './burn-text.js';
import {barPlot, linePlot} from './svg-plot.js';

const style = 'body{font:15px/1.5 system-ui,sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}h2{margin-top:2em}.alert{color:#b00020;font-weight:bold}.ok{color:#1b6e3c}svg{display:block;margin:.5em 0}svg text{font:12px system-ui,sans-serif;fill:#444}td,th{text-align:left;padding:.1em 1em .1em 0}';
const intro = 'Each service promises that a share of its requests is good. The rest is its error budget for 30 days. A burn rate of 1 uses the budget up in exactly 30 days; a rate of 10 does so in 3 days. An alert is raised only when a short and a long window both burn too fast, so that neither a short burst nor a fault that is over wakes anybody.';

/** Renders a self-contained HTML page with the error budget and burn rates of each objective. */
export function burnPage({at, rows}: BurnSummary): string {
	const sections = rows.map(row => section(row, at));
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>catkinbeam: error budgets</title><style>${style}</style></head>
<body><h1>Error budgets</h1>
<p>As of ${new Date(at).toISOString()}. ${intro}</p>
${sections.join('\n') || '<p>No service document has objectives.</p>'}
</body></html>
`;
}

function section(row: BurnRow, at: number): string {
	const state = row.alerts.length > 0 ? `<span class="alert">Alert: ${escapeHtml(row.alerts.join(', '))} burn</span>` : '<span class="ok">No alert</span>';
	const facts: ReadonlyArray<readonly [string, string]> = [
		['Goal', `${(100 * row.goodShare).toPrecision(4)} % of requests are good`],
		['Last 30 days', `${row.total} requests, ${row.bad} of them bad`],
		['Error budget left', `${(100 * row.budgetLeft).toFixed(1)} %`],
		['Budget ends at the rate of the last hour', budgetEndText(row, at)],
		['Bad requests by version, last 2 hours', causesText(row.versions, 5)],
		['Bad requests by customer, last 2 hours', causesText(row.customers, 5)],
	];
	const bars = burnWindows.map(([name]) => ({name, value: row.rates[name] ?? 0}));
	return `<h2>${escapeHtml(row.service)}: ${escapeHtml(row.objective)}</h2>
<p>${state}</p>
<table>${facts.map(([name, value]) => `<tr><th>${name}</th><td>${escapeHtml(value)}</td></tr>`).join('')}</table>
${barPlot('Burn rate by window; the line marks a rate of 1', bars, 1)}
${linePlot('Share of bad requests by hour, last 3 days; the line marks the share that the goal allows', row.history.map(({badShare}) => badShare), 1 - row.goodShare)}`;
}

/** Escapes text for HTML content and attribute values. */
export function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
