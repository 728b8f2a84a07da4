import {expect} from 'vitest';
import {type SpeedLoad, SpeedSimulation} from './speed-simulation.js';

const speeds = [0.6, 1, 1.6];
/** Speeds that are not the same in all servers of a zone. */
const mixed = (index: number) => speeds[(index + Math.floor(index / 3)) % 3]!;

/** A deployment by the acceptance criteria of server speeds. */
export type SpeedDeployment = Pick<SpeedLoad, 'hosts' | 'servers' | 'zones' | 'perSecond' | 'slots' | 'parts'>;

export const speedDeployments: Array<SpeedDeployment & {name: string}> = [
	{
		name: '9 hosts', hosts: 9, servers: 9, zones: 3, perSecond: 32, slots: 1, parts: 1,
	},
	{
		name: '82 hosts', hosts: 82, servers: 98, zones: 4, perSecond: 341, slots: 1, parts: 1,
	},
	{
		name: '370 hosts', hosts: 370, servers: 120, zones: 6, perSecond: 480, slots: 1, parts: 1,
	},
	{
		name: '82 hosts and a plain service', hosts: 82, servers: 4, zones: 4, perSecond: 85, slots: 6, parts: 0,
	},
];

function play(deployment: SpeedDeployment, changes: Partial<SpeedLoad>): SpeedSimulation {
	return new SpeedSimulation({
		seed: 1, utilization: 0.5, speedOf: mixed, hasNoise: false, durationMs: 40_000, weights: 'estimated', ...deployment, ...changes,
	}).run();
}

/** Time that 95 % of the requests from 15 s on wait at most for their first event. */
function p95Of({sent}: SpeedSimulation): number {
	const times = sent.filter(({at}) => at >= 15_000).map(({firstEventMs}) => firstEventMs).sort((left, right) => left - right);
	return times[Math.floor(times.length * 0.95)]!;
}

/** Load of the busiest server from 15 s on, relative to its share by speed. */
function busiestOf({sent, servers}: SpeedSimulation): number {
	const work = servers.map(() => 0);
	for (const {at, server, workMs} of sent) {
		work[server]! += at >= 15_000 ? workMs : 0;
	}

	const totalWork = work.reduce((sum, ms) => sum + ms, 0);
	const totalSpeed = servers.reduce((sum, {speed}) => sum + speed, 0);
	return Math.max(...work.map((ms, index) => ms / totalWork * totalSpeed / servers[index]!.speed));
}

/** Checks that answers are early and that no server is overloaded where servers of one service differ in speed, and that reports take no more than their share of the control traffic. */
export function expectUseBySpeed(deployment: SpeedDeployment): void {
	const estimated = play(deployment, {});
	expect.soft(p95Of(estimated) / p95Of(play(deployment, {weights: 'known'}))).toBeLessThanOrEqual(1.3);
	expect.soft(busiestOf(estimated)).toBeLessThan(1.25);
	expect(Math.max(...estimated.bytes.flatMap(({sent, received}) => [sent, received]))).toBeLessThanOrEqual(1024 * 40);
}

/** Load of slowed servers by half seconds since they became 5 times slower and, 12 s later, recovered; relative to the one that is fair without the change. */
function loadAfterChange(deployment: SpeedDeployment): number[] {
	const count = Math.ceil(deployment.servers / 12);
	const cycles = deployment.servers > 20 ? 2 : 12;
	const startMs = 15_000;
	const cycleMs = 24_000;
	const isSlowed = (server: number, cycle: number) => (server + deployment.servers - cycle) % deployment.servers % 12 === 0;
	const {sent, servers} = play(deployment, {
		durationMs: startMs + (cycles * cycleMs), onTick({servers: all}, now) {
			for (const [index, server] of all.entries()) {
				server.factor = now >= startMs && (now - startMs) % cycleMs < 12_000 && isSlowed(index, Math.floor((now - startMs) / cycleMs)) ? 0.2 : 1;
			}
		},
	});
	const totalSpeed = servers.reduce((sum, {speed}) => sum + speed, 0);
	let fair = 0;
	for (let cycle = 0; cycle < cycles; cycle++) {
		fair += servers.reduce((sum, {speed}, index) => sum + (isSlowed(index, cycle) ? speed : 0), 0) / totalSpeed * deployment.perSecond / 2;
	}

	expect(count * cycles).toBeGreaterThan(8);
	const loads = Array.from({length: cycleMs / 500}, () => 0);
	for (const {at, server} of sent) {
		if (at >= startMs && isSlowed(server, Math.floor((at - startMs) / cycleMs))) {
			loads[Math.floor((at - startMs) % cycleMs / 500)]! += 1 / fair;
		}
	}

	return loads;
}

const meanOf = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

/**
Checks that slow servers lose their load soon, and that recovered ones get it back. The load that is fair falls to a fifth, so
half of the surplus is gone at 0.6; a tenth of the surplus and of the share is left to chance.
*/
export function expectLoadFollowsChange(deployment: SpeedDeployment): void {
	const loads = loadAfterChange(deployment);
	const text = loads.map(load => load.toFixed(2)).join(' ');
	expect.soft(meanOf(loads.slice(4, 6)), `half after 2 s: ${text}`).toBeLessThanOrEqual(0.6);
	expect.soft(meanOf(loads.slice(10, 14)), `all after 5 s: ${text}`).toBeLessThanOrEqual(0.28);
	expect.soft(meanOf(loads.slice(34, 44)), `share back after 5 s: ${text}`).toBeGreaterThanOrEqual(0.9);
}

/** Servers of unequal and of equal speeds. */
export const speedFleets = [{speedOf: mixed, fleet: 'unequal'}, {speedOf: () => 1, fleet: 'equal'}] as const;

/** Checks that weights do not follow noise, which would move load to and fro. */
export function expectNoiseMovesLittle({speedOf, ...deployment}: SpeedDeployment & Pick<SpeedLoad, 'speedOf'>): void {
	const shares: number[][] = [];
	play(deployment, {
		speedOf, hasNoise: true, durationMs: 35_000, onTick({hosts: [host]}, now) {
			if (now >= 15_000) {
				const weights = host!.records.map(record => host!.received.of(record, now));
				shares.push(weights.map(weight => weight / meanOf(weights)));
			}
		},
	});
	const moved = shares[0]!.map((_, index) => {
		const mean = meanOf(shares.map(share => share[index]!));
		return meanOf(shares.map(share => Math.abs((share[index]! / mean) - 1)));
	});
	expect(meanOf(moved), `worst server ${Math.max(...moved)}`).toBeLessThan(0.1);
}

/** Checks that the choices in a fleet of equal servers are those without weights. */
export function expectEqualServersUnweighted(deployment: SpeedDeployment): void {
	const {hosts, sent} = play(deployment, {speedOf: () => 1, durationMs: 25_000});
	const others = play(deployment, {speedOf: () => 1, durationMs: 25_000, weights: 'none'}).sent;
	expect(hosts.flatMap(({received, records}) => records.filter(record => received.of(record, 25_000) !== 1))).toHaveLength(0);
	expect(sent.findIndex(({server}, index) => server !== others[index]!.server)).toBe(-1);
}
