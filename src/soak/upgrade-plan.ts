import {type RandomSource} from '../common/base/random-source.js';
import {isPlannedOnly} from './soak-plan.js';

/** Orders in which the hosts are replaced. */
export const upgradeOrder = {
	coreFirst: 'core-first',
	entriesFirst: 'entries-first',
	mixed: 'mixed',
} as const;

/** A value of `upgradeOrder`. */
export type UpgradeOrder = typeof upgradeOrder[keyof typeof upgradeOrder];

/** Ways in which a host leaves its earlier build. */
export const replacement = {
	/** Stopped as planned, keeps its data. */
	stop: 'stop',
	/** Stopped as planned, returns with an empty disk; control hosts only. */
	wipe: 'wipe',
	/** Killed, keeps its data. */
	kill: 'kill',
} as const;

/** A value of `replacement`. */
export type Replacement = typeof replacement[keyof typeof replacement];

/** Replacement of one host. Times are in milliseconds. */
export interface UpgradeStep {
	readonly role: 'control' | 'entry';
	readonly index: number;
	readonly how: Replacement;
	/** Time from the return of the previous host to the stop of this one. */
	readonly gapMs: number;
	/** Time for which a killed host is down. */
	readonly downMs: number;
}

/** Replacement of all hosts, one after the other. */
export interface UpgradePlan {
	readonly order: UpgradeOrder;
	readonly steps: readonly UpgradeStep[];
}

const minGapMs = 200;
const maxGapMs = 1800;
/** Range of the gap before one host, in which both builds run side by side for longer than a lease and the time for which a removed key is accepted. */
const minLongGapMs = 6000;
const maxLongGapMs = 9000;
const minDownMs = 100;
const maxDownMs = 1500;
/** Share of the seeds with faults in which one control host returns with an empty disk. */
const wipeShare = 0.5;
/** Share of the hosts that are killed, in seeds with faults. */
const killShare = 0.3;

/** Plans the upgrade of a seed. In seeds without faults each host is stopped as planned and keeps its data. */
export function planUpgrade(seed: number, random: RandomSource, controls: number, entries: number): UpgradePlan {
	const isPlanned = isPlannedOnly(seed);
	const orders = Object.values(upgradeOrder);
	const order = orders[random.integer(orders.length)]!;
	const hosts = shuffle(random, [
		...Array.from({length: controls}, (_, index) => ({role: 'control' as const, index})),
		...Array.from({length: entries}, (_, index) => ({role: 'entry' as const, index})),
	]);
	const wiped = !isPlanned && random.next() < wipeShare ? random.integer(controls) : undefined;
	const longGap = 1 + random.integer(hosts.length - 1);
	const steps = hosts.map(host => ({
		...host,
		how: host.role === 'control' && host.index === wiped ? replacement.wipe : (isPlanned || random.next() >= killShare ? replacement.stop : replacement.kill),
		gapMs: minGapMs + random.integer(maxGapMs - minGapMs),
		downMs: minDownMs + random.integer(maxDownMs - minDownMs),
	}));
	return {
		order, steps: sorted(steps, order).map((step, position) => position === longGap ? {...step, gapMs: minLongGapMs + random.integer(maxLongGapMs - minLongGapMs)} : step),
	};
}

function sorted(steps: readonly UpgradeStep[], order: UpgradeOrder): readonly UpgradeStep[] {
	if (order === upgradeOrder.mixed) {
		return steps;
	}

	const first = order === upgradeOrder.coreFirst ? 'control' : 'entry';
	return [...steps.filter(({role}) => role === first), ...steps.filter(({role}) => role !== first)];
}

function shuffle<T>(random: RandomSource, items: T[]): T[] {
	for (let last = items.length - 1; last > 0; last--) {
		const other = random.integer(last + 1);
		[items[last], items[other]] = [items[other]!, items[last]!];
	}

	return items;
}
