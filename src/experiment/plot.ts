import {type ReplayResult} from './replay-result.js';

const size = {width: 720, height: 240, margin: 48} as const;
const colours = ['#0b6e4f', '#b23a48', '#3a6ea5', '#c98b1b', '#6b4c9a', '#555555'];

/** Draws an SVG with the mean rating and the mean cost of each policy over the time of a trace. */
export function plot(title: string, target: number, results: readonly ReplayResult[]): string {
	const panels = [
		panel('mean rating', results.map(({slices}) => slices.map(({quality}) => quality)), {low: 0.5, high: 1, line: target}),
		panel('mean cost of a request', results.map(({slices}) => slices.map(({cost}) => cost)), {low: 0, high: Math.max(...results.flatMap(({slices}) => slices.map(({cost}) => cost)))}),
	];
	const legend = results.map(({policy}, index) => `<text x="${size.margin + (index * 100)}" y="40" fill="${colours[index % colours.length]}">${policy}</text>`);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${size.width}" height="${(2 * size.height) + 60}" font-family="sans-serif" font-size="12">`,
		'<rect width="100%" height="100%" fill="white"/>',
		`<text x="${size.margin}" y="20" font-size="14">${title}</text>`,
		...legend,
		...panels.map((content, index) => `<g transform="translate(0 ${50 + (index * size.height)})">${content}</g>`),
		'</svg>',
		'',
	].join('\n');
}

function panel(label: string, series: ReadonlyArray<readonly number[]>, {low, high, line}: {low: number; high: number; line?: number}): string {
	const y = (value: number) => (size.height - 30 - ((Math.max(low, value) - low) / (high - low) * (size.height - 60))).toFixed(1);
	const x = (index: number, count: number) => (size.margin + (index / Math.max(1, count - 1) * (size.width - (2 * size.margin)))).toFixed(1);
	const points = (values: readonly number[]) => values.map((value, index) => `${x(index, values.length)},${y(value)}`).join(' ');
	const lines = series.map((values, at) => `<polyline fill="none" stroke-width="1.5" stroke="${colours[at % colours.length]}" points="${points(values)}"/>`);
	const scale = [low, high].map(value => `<text x="4" y="${y(value)}">${value.toPrecision(3)}</text>`);
	const mark = line === undefined ? [] : [`<line x1="${size.margin}" x2="${size.width - size.margin}" y1="${y(line)}" y2="${y(line)}" stroke="black" stroke-dasharray="4 3"/>`];
	return [`<text x="${size.margin}" y="20">${label}</text>`, ...scale, ...mark, ...lines].join('');
}
