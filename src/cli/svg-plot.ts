const width = 720;
const height = 180;
const margin = {
	left: 56, right: 8, top: 26, bottom: 24,
} as const;
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;

/** A labelled bar. */
export interface PlotBar {
	readonly name: string;
	readonly value: number;
}

/** Renders a bar chart with a dashed line at `mark`. Bars above the mark are red. */
export function barPlot(title: string, bars: readonly PlotBar[], mark: number): string {
	const top = axisTop([...bars.map(({value}) => value), mark]);
	const step = plotWidth / Math.max(1, bars.length);
	const shapes = bars.map(({name, value}, index) => {
		const left = margin.left + (index * step);
		const y = yOf(value, top);
		const colour = value > mark ? '#b00020' : '#2a6f97';
		return `<rect x="${left + (step * 0.2)}" y="${y}" width="${step * 0.6}" height="${margin.top + plotHeight - y}" fill="${colour}"/>
<text x="${left + (step / 2)}" y="${y - 4}" text-anchor="middle">${value.toFixed(1)}</text><text x="${left + (step / 2)}" y="${height - 6}" text-anchor="middle">${name}</text>`;
	});
	return frame(title, top, mark, shapes.join('\n'), value => value.toFixed(1));
}

/** Renders a line chart of hourly values with a dashed line at `mark`. A missing value interrupts the line. */
export function linePlot(title: string, values: ReadonlyArray<number | undefined>, mark: number): string {
	const top = axisTop([...values.map(value => value ?? 0), mark]);
	const xOf = (index: number) => margin.left + ((index + 0.5) * plotWidth / values.length);
	const dots = values.map((value, index) => {
		if (value === undefined) {
			return '';
		}

		const previous = values[index - 1];
		const line = previous === undefined ? '' : `<line x1="${xOf(index - 1)}" y1="${yOf(previous, top)}" x2="${xOf(index)}" y2="${yOf(value, top)}" stroke="#2a6f97" stroke-width="2"/>`;
		return `${line}<circle cx="${xOf(index)}" cy="${yOf(value, top)}" r="2.5" fill="#2a6f97"/>`;
	});
	const labels = [72, 48, 24, 0].map(hours => `<text x="${margin.left + (plotWidth * (1 - (hours / 72)))}" y="${height - 6}" text-anchor="${hours === 0 ? 'end' : 'middle'}">${hours === 0 ? 'now' : `-${hours} h`}</text>`);
	return frame(title, top, mark, [...dots, ...labels].join('\n'), value => `${(100 * value).toPrecision(2)} %`);
}

function frame(title: string, top: number, mark: number, content: string, format: (value: number) => string): string {
	const base = margin.top + plotHeight;
	const markY = yOf(mark, top);
	return `<svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" role="img" aria-label="${title}">
<text x="0" y="14" font-weight="bold">${title}</text>
<line x1="${margin.left}" y1="${base}" x2="${width - margin.right}" y2="${base}" stroke="#888"/>
<text x="${margin.left - 6}" y="${margin.top + 4}" text-anchor="end">${format(top)}</text><text x="${margin.left - 6}" y="${base}" text-anchor="end">0</text>
${content}
<line x1="${margin.left}" y1="${markY}" x2="${width - margin.right}" y2="${markY}" stroke="#e09f3e" stroke-width="1.5" stroke-dasharray="6 4"/>
</svg>`;
}

function yOf(value: number, top: number): number {
	return margin.top + (plotHeight * (1 - (value / top)));
}

/** Upper end of the axis, 20 % above the largest value. */
function axisTop(values: readonly number[]): number {
	return Math.max(...values) * 1.2;
}
