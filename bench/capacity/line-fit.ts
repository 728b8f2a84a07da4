/** Straight line fitted to measured points, with the half-widths of the 95 % confidence intervals. */
export interface Line {
	readonly intercept: number;
	readonly slope: number;
	readonly interceptError: number;
	readonly slopeError: number;
	readonly points: number;
}

/** 97.5 % quantiles of Student's t for 1, 2, … 20 degrees of freedom; above that 1.96 is used. */
const studentT = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093, 2.086];

/** Least-squares fit; needs at least three points with at least two different x. */
export function fitLine(points: ReadonlyArray<readonly [x: number, y: number]>): Line {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const squaresX = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	if (count < 3 || squaresX === 0) {
		throw new Error('a line fit needs at least three points with at least two different x');
	}

	const slope = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0) / squaresX;
	const intercept = meanY - (slope * meanX);
	const residualSquares = points.reduce((sum, [x, y]) => sum + ((y - intercept - (slope * x)) ** 2), 0);
	const deviation = Math.sqrt(residualSquares / (count - 2));
	const t = studentT[count - 3] ?? 1.96;
	return {
		intercept, slope, points: count, slopeError: t * deviation / Math.sqrt(squaresX), interceptError: t * deviation * Math.sqrt((1 / count) + ((meanX ** 2) / squaresX)),
	};
}

/** Value of the line at `x`. */
export function valueAt({intercept, slope}: Line, x: number): number {
	return intercept + (slope * x);
}
