import {SeededRandom} from '../common/base/seeded-random.js';
import {FleetRepeatBudget, type RepeatLimit} from '../common/forwarding/fleet-repeat-budget.js';
import {repeatPurpose} from '../common/forwarding/repeat-budget.js';
import {SlackShare} from '../common/forwarding/slack-share.js';
import {ManualClock} from './manual-clock.js';

/** A load on all entry hosts during which a quarter of the servers ends at once. */
export interface RepeatLoad {
	readonly seed: number;
	readonly hosts: number;
	/** Requests a second and host, for one service. */
	readonly perSecond: number;
	readonly limit: RepeatLimit;
	/** Share of the requests for which a larger model is asked if the budget allows it. */
	readonly escalated: number;
	/** Whether hosts start, leave and lose their contact to the control hosts meanwhile. */
	readonly isChanging: boolean;
}

/** Result of a load. */
export interface RepeatOutcome {
	/** Share of the requests broken by the end of the servers that were sent again. */
	readonly retriedShare: number;
	/** Largest number of repeats in a window beyond the limit; negative when all windows stay below it. */
	readonly excess: number;
	readonly broken: number;
}

const servers = 40;
const crashAt: ReadonlySet<number> = new Set([24_000, 31_000]);
const durationMs = 45_000;
const settleMs = 4000;
const minWorkMs = 200;
const workSpreadMs = 2800;
/** Interval in milliseconds at which hosts learn of changes of the directory. */
const directoryMs = 1000;
/** Time in milliseconds for which a host that has lost its contact still serves. */
const leaseMs = 4000;
const changeMs = 3000;

type Host = {
	readonly budget: FleetRepeatBudget;
	readonly share: SlackShare;
	/** Time from which the host no longer serves. */
	endsAt: number;
	/** Time from which the host does not learn of changes any more. */
	cutAt: number;
};
type Running = {readonly host: Host; readonly server: number; endsAt: number};

/** Plays a load with the budgets of all hosts, without their requests' contents. */
export async function playRepeatLoad(load: RepeatLoad): Promise<RepeatOutcome> {
	return new RepeatSimulation(load).play();
}

class RepeatSimulation {
	private readonly _clock = new ManualClock();
	private readonly _random: SeededRandom;
	private _hosts: Host[] = [];
	private _running: Running[] = [];
	private readonly _requestTimes: number[] = [];
	private readonly _repeatTimes: number[] = [];
	private _broken = 0;
	private _retried = 0;

	constructor(private readonly _load: RepeatLoad) {
		this._random = new SeededRandom(_load.seed);
		for (let host = 0; host < _load.hosts; host++) {
			this._addHost();
		}
	}

	async play(): Promise<RepeatOutcome> {
		const stepMs = 50;
		let due = 0;
		for (let now = 0; now < durationMs; now += stepMs) {
			await this._clock.advance(stepMs); // eslint-disable-line no-await-in-loop -- time passes step by step
			if (now % directoryMs === 0) {
				this._spreadDirectory();
			}

			if (this._load.isChanging && now % changeMs === 0 && now > 0) {
				this._changeHosts(now);
			}

			due += this._hosts.length * this._load.perSecond * stepMs / 1000;
			for (; due >= 1; due--) {
				this._receive(now);
			}

			if (crashAt.has(now)) {
				this._endServers(now);
			}

			this._running = this._running.filter(({endsAt}) => endsAt > now);
			this._hosts = this._hosts.filter(({endsAt}) => endsAt > now);
		}

		return {retriedShare: this._retried / this._broken, excess: this._excess(), broken: this._broken};
	}

	private _addHost(): void {
		const share = new SlackShare(this._clock, settleMs, settleMs + this._load.limit.windowMs);
		this._hosts.push({
			share, budget: new FleetRepeatBudget(this._clock, this._load.limit, () => share.value), endsAt: Infinity, cutAt: Infinity,
		});
	}

	private _spreadDirectory(): void {
		for (const {share, cutAt} of this._hosts) {
			if (cutAt > this._clock.now()) {
				share.update(this._hosts.length, true);
			}
		}
	}

	/** A tenth of the hosts stays, leaves without a notice, or is cut off until its lease ends; as many new ones start. */
	private _changeHosts(now: number): void {
		const count = Math.ceil(this._load.hosts / 10);
		for (let changed = 0; changed < count; changed++) {
			const host = this._hosts[Math.floor(this._random.next() * this._hosts.length)]!;
			const change = Math.floor(this._random.next() * 3);
			if (change === 1) {
				host.endsAt = now;
			} else if (change === 2) {
				host.cutAt = now;
				host.endsAt = now + leaseMs;
			}

			this._addHost();
		}
	}

	private _receive(now: number): void {
		const host = this._hosts[Math.floor(this._random.next() * this._hosts.length)]!;
		host.budget.recordRequest();
		this._requestTimes.push(now);
		this._run(host, now);
		if (this._random.next() < this._load.escalated && host.budget.take(repeatPurpose.escalation)) {
			this._repeatTimes.push(now);
			this._run(host, now);
		}
	}

	private _run(host: Host, now: number): void {
		this._running.push({host, server: Math.floor(this._random.next() * servers), endsAt: now + minWorkMs + (this._random.next() * workSpreadMs)});
	}

	private _endServers(now: number): void {
		for (const request of this._running.filter(({server, host}) => server < servers / 4 && host.endsAt > now)) {
			request.endsAt = now;
			this._broken++;
			if (request.host.budget.take(repeatPurpose.retry)) {
				this._retried++;
				this._repeatTimes.push(now);
				this._run(request.host, now);
			}
		}
	}

	/** Checks all windows that end at a repeat, or begin just before one. */
	private _excess(): number {
		const {share, slack, windowMs} = this._load.limit;
		const ends = new Set(this._repeatTimes.flatMap(at => [at, at + windowMs - 1]));
		let excess = -Infinity;
		for (const end of ends) {
			const from = end - windowMs;
			const requests = Math.max(...[0, windowMs / 2, windowMs].map(back => countWithin(this._requestTimes, from - back, end - back)));
			excess = Math.max(excess, countWithin(this._repeatTimes, from, end) - (share * requests) - slack);
		}

		return excess;
	}
}

/** Number of ascending times after `from`, up to and including `to`. */
function countWithin(times: readonly number[], from: number, to: number): number {
	return firstAfter(times, to) - firstAfter(times, from);
}

function firstAfter(times: readonly number[], at: number): number {
	let low = 0;
	let high = times.length;
	while (low < high) {
		const middle = (low + high) >>> 1; // eslint-disable-line no-bitwise -- integer division
		if (times[middle]! <= at) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
