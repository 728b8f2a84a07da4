/** Formats a number with three significant digits; numbers from 100 on are rounded to integers. */
export function formatNumber(value: number): string {
	return Math.abs(value) >= 100 ? Math.round(value).toLocaleString('en-US') : String(Number(value.toPrecision(3)));
}
