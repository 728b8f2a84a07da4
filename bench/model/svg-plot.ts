/** Data series, drawn as a line. */
export type Series = {readonly name: string; readonly points: ReadonlyArray<readonly [number, number]>};
/** Contents of the plot; both axes start at 0. */
export type Plot = {
	readonly title: string;
	readonly xLabel: string;
	readonly yLabel: string;
	readonly series: readonly Series[];
	/** Target value, drawn as a horizontal line. */
	readonly target: {readonly name: string; readonly value: number};
};

const width = 720;
const height = 420;
const margin = {
	left: 64, right: 24, top: 48, bottom: 92,
};
const colours = ['#1f5f99', '#c2571a', '#3b7d3b', '#7a4a9e'];
const ticks = 5;

/** Renders a line plot as SVG text. */
export function svgPlot(plot: Plot): string {
	const points = plot.series.flatMap(series => series.points);
	const maxX = niceMax(Math.max(...points.map(([x]) => x)));
	const maxY = niceMax(Math.max(plot.target.value, ...points.map(([, y]) => y)));
	const toX = (x: number) => round(margin.left + (x / maxX * (width - margin.left - margin.right)));
	const toY = (y: number) => round(height - margin.bottom - (y / maxY * (height - margin.top - margin.bottom)));
	const lines = [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" role="img" font-family="sans-serif" font-size="13" fill="#222">`,
		`<title>${plot.title}</title>`,
		`<rect width="${width}" height="${height}" fill="#fff"/>`,
		`<text x="${margin.left}" y="26" font-size="16">${plot.title}</text>`,
	];
	for (let tick = 0; tick <= ticks; tick++) {
		const [x, y] = [maxX * tick / ticks, maxY * tick / ticks];
		lines.push(
			`<line x1="${margin.left}" y1="${toY(y)}" x2="${width - margin.right}" y2="${toY(y)}" stroke="#ddd"/>`,
			`<text x="${margin.left - 8}" y="${toY(y) + 4}" text-anchor="end">${round(y)}</text>`,
			`<text x="${toX(x)}" y="${height - margin.bottom + 20}" text-anchor="middle">${round(x)}</text>`,
		);
	}

	lines.push(
		`<text x="${width / 2}" y="${height - margin.bottom + 42}" text-anchor="middle">${plot.xLabel}</text>`,
		`<text transform="translate(18 ${height / 2}) rotate(-90)" text-anchor="middle">${plot.yLabel}</text>`,
		`<line x1="${margin.left}" y1="${toY(plot.target.value)}" x2="${width - margin.right}" y2="${toY(plot.target.value)}" stroke="#a00" stroke-dasharray="6 4"/>`,
		`<text x="${width - margin.right}" y="${toY(plot.target.value) - 6}" text-anchor="end" fill="#a00">${plot.target.name}</text>`,
	);
	for (const [index, series] of plot.series.entries()) {
		const colour = colours[index % colours.length]!;
		const x = margin.left + (index * (width - margin.left) / plot.series.length);
		lines.push(
			`<polyline fill="none" stroke="${colour}" stroke-width="2" points="${series.points.map(([px, py]) => `${toX(px)},${toY(py)}`).join(' ')}"/>`,
			...series.points.map(([px, py]) => `<circle cx="${toX(px)}" cy="${toY(py)}" r="3" fill="${colour}"/>`),
			`<rect x="${x}" y="${height - 24}" width="12" height="12" fill="${colour}"/>`,
			`<text x="${x + 18}" y="${height - 13}">${series.name}</text>`,
		);
	}

	return `${lines.join('\n')}\n</svg>\n`;
}

/** Smallest axis maximum that is at least `value` and has ticks of 1, 2, 2.5 or 5 times a power of ten. */
function niceMax(value: number): number {
	const step = value / ticks;
	const power = 10 ** Math.floor(Math.log10(step));
	return ticks * power * [1, 2, 2.5, 5, 10].find(factor => factor * power >= step)!;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
