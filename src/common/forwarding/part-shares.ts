/** Time in milliseconds after which the work of a request counts half. */
const halfLifeMs = 10_000;
/** Number of requests of mean work by which a share is lowered, so that the first requests of a host do not look like most of the load. */
const priorRequests = 10;
/** Maximum number of parts whose work is recorded; the parts with the least work are dropped above it. */
const maxParts = 1000;
/** Part of the recorded parts that is kept when there are too many. */
const keptFraction = 0.5;
/** Weight from which all sums are scaled down, far below the range of numbers. */
const maxWeight = 2 ** 100;

/** Share of each prompt part in the work of a service, as one host sees it in its own requests. Older requests count less. */
export class PartShares {
	/** Sums of work by part, multiplied by the weight of the time of the request. */
	private readonly _work = new Map<string, number>();
	private _total = 0;
	private _requests = 0;
	private _epoch = 0;

	/** Number of parts whose work is recorded. */
	get size(): number {
		return this._work.size;
	}

	/** Records the work of a request. The unit is arbitrary. Work that is no positive number does not count. */
	record(part: string | undefined, work: number, now: number): void {
		if (!(work > 0 && work <= Number.MAX_SAFE_INTEGER)) {
			return;
		}

		const weight = this._weight(now);
		this._total += work * weight;
		this._requests += weight;
		if (part !== undefined) {
			this._work.set(part, (this._work.get(part) ?? 0) + (work * weight));
			if (this._work.size > maxParts) {
				this._dropSmallest();
			}
		}
	}

	/** Share of a part in the work of all requests, from 0 to 1. */
	share(part: string, now: number): number {
		if (this._total === 0) {
			return 0;
		}

		const prior = priorRequests * this._weight(now) * this._total / this._requests;
		return (this._work.get(part) ?? 0) / (this._total + prior);
	}

	/** Weight of a request now. It grows, which is the same as a decay of all earlier requests. */
	private _weight(now: number): number {
		const weight = 2 ** ((now - this._epoch) / halfLifeMs);
		if (weight < maxWeight) {
			return weight;
		}

		for (const [part, work] of this._work) {
			this._work.set(part, work / weight);
		}

		this._total /= weight;
		this._requests /= weight;
		this._epoch = now;
		return 1;
	}

	private _dropSmallest(): void {
		const byWork = [...this._work].sort(([, left], [, right]) => right - left);
		for (const [part] of byWork.slice(Math.floor(maxParts * keptFraction))) {
			this._work.delete(part);
		}
	}
}
