import {type RandomSource} from '../common/base/random-source.js';
import {sleep} from '../common/base/sleep.js';
import {type SimulatedHost} from './simulated-host.js';
import {type FaultSimulation} from './fault-simulation.js';

type Fault = (simulation: FaultSimulation, random: RandomSource) => Promise<string>;

function pick<Value>(values: readonly Value[], random: RandomSource): Value {
	return values[random.integer(values.length)]!;
}

function others(simulation: FaultSimulation, host: SimulatedHost): string[] {
	return simulation.hosts.filter(other => other !== host).map(({name}) => name);
}

/** Faults by name. Each fault ends by itself, and faults may overlap. */
export const faults: Readonly<Record<string, Fault>> = {
	async crash(simulation, random) {
		const host = pick(simulation.hosts, random);
		const downMs = 500 + random.integer(6000);
		host.crash();
		void restartAfter(simulation, host, downMs);
		return `crash ${host.name} for ${downMs} ms`;
	},
	async crashTwo(simulation, random) {
		const first = pick(simulation.hosts, random);
		const second = pick(simulation.hosts, random);
		for (const host of [first, second]) {
			host.crash();
			void restartAfter(simulation, host, 1000 + random.integer(4000));
		}

		return `crash ${first.name} and ${second.name}`;
	},
	async freeze(simulation, random) {
		const host = pick(simulation.hosts, random);
		const durationMs = 500 + random.integer(7000);
		host.freeze(durationMs);
		return `freeze ${host.name} for ${durationMs} ms`;
	},
	async isolate(simulation, random) {
		const host = pick(simulation.hosts, random);
		const durationMs = 1000 + random.integer(9000);
		simulation.network.partition([host.name], others(simulation, host));
		void healAfter(simulation, durationMs);
		return `isolate ${host.name} for ${durationMs} ms`;
	},
	async oneWay(simulation, random) {
		const host = pick(simulation.hosts, random);
		const durationMs = 1000 + random.integer(6000);
		const isOutgoing = random.next() < 0.5;
		for (const other of others(simulation, host)) {
			simulation.network.cut(isOutgoing ? host.name : other, isOutgoing ? other : host.name);
		}

		void healAfter(simulation, durationMs);
		return `cut ${isOutgoing ? 'from' : 'to'} ${host.name} for ${durationMs} ms`;
	},
	async split(simulation, random) {
		const left = simulation.hosts.filter(() => random.next() < 0.5).map(({name}) => name);
		const right = simulation.hosts.map(({name}) => name).filter(name => !left.includes(name));
		const durationMs = 1000 + random.integer(9000);
		simulation.network.partition(left, right);
		void healAfter(simulation, durationMs);
		return `split ${left.join(' ')} | ${right.join(' ')} for ${durationMs} ms`;
	},
	async lossy(simulation, random) {
		Object.assign(simulation.network.faults, {lossRate: 0.15, duplicateRate: 0.1, maxDelayMs: 80});
		void resetLinksAfter(simulation, 1000 + random.integer(5000));
		return 'lossy links';
	},
	async killServer(simulation, random) {
		const id = pick([...simulation.backends.servers.keys()], random);
		simulation.backends.servers.get(id)!.isUp = false;
		void restartServerAfter(simulation, id, 500 + random.integer(5000));
		return `kill ${id}`;
	},
	async leaveServer(simulation, random) {
		const id = pick([...simulation.backends.servers.keys()], random);
		void simulation.deregisterServer(id);
		void restartServerAfter(simulation, id, 1500 + random.integer(4000));
		return `${id} leaves and returns`;
	},
	async cutServer(simulation, random) {
		const host = pick(simulation.hosts, random);
		const id = pick([...simulation.backends.servers.keys()], random);
		const {cutFrom} = simulation.backends.servers.get(id)!;
		cutFrom.add(host.name);
		void reconnectAfter(simulation, cutFrom, host.name, 1000 + random.integer(5000));
		return `cut ${host.name} from ${id}`;
	},
	async loseDisk(simulation, random) {
		const voters = simulation.hosts.filter(({name}) => simulation.voters.includes(name));
		if (!voters.every(({isUp}) => isUp)) {
			return 'no disk lost: a voter is down';
		}

		const host = pick(voters, random);
		host.crash();
		host.wipeDisks();
		void restartAfter(simulation, host, 500 + random.integer(2000));
		return `lose the disks of ${host.name}`;
	},
};

/** Injects random faults until a time, then ends all of them. */
export async function runFaults(simulation: FaultSimulation, random: RandomSource, untilMs: number): Promise<void> {
	const names = Object.keys(faults);
	let diskLosses = 0;
	while (simulation.clock.now() < untilMs) {
		const name = pick(names, random);
		// With three voters the quorum survives one lost disk at a time, so a run loses only one.
		if (name !== 'loseDisk' || diskLosses++ === 0) {
			// eslint-disable-next-line no-await-in-loop -- faults start one after another
			const text = await faults[name]!(simulation, random);
			simulation.history.faults.push(`${Math.round(simulation.clock.now())} ${text}`);
		}

		// eslint-disable-next-line no-await-in-loop -- time between faults
		await sleep(simulation.clock, 200 + random.integer(3000));
	}

	await healAll(simulation);
}

/** Heals the network and starts all hosts and backend servers that are down. */
export async function healAll(simulation: FaultSimulation): Promise<void> {
	simulation.network.heal();
	Object.assign(simulation.network.faults, {lossRate: 0, duplicateRate: 0, maxDelayMs: 3});
	for (const [id, target] of simulation.backends.servers) {
		target.cutFrom.clear();
		if (!target.isUp) {
			simulation.restartServer(id);
		}
	}

	for (const host of simulation.hosts) {
		if (!host.isUp) {
			void host.start();
		}
	}
}

async function restartAfter(simulation: FaultSimulation, host: SimulatedHost, delayMs: number): Promise<void> {
	const {starts} = host;
	await sleep(simulation.clock, delayMs);
	if (!host.isUp && host.starts === starts) {
		await host.start();
	}
}

async function restartServerAfter(simulation: FaultSimulation, id: string, delayMs: number): Promise<void> {
	await sleep(simulation.clock, delayMs);
	simulation.restartServer(id);
}

async function healAfter(simulation: FaultSimulation, delayMs: number): Promise<void> {
	await sleep(simulation.clock, delayMs);
	simulation.network.heal();
}

async function resetLinksAfter(simulation: FaultSimulation, delayMs: number): Promise<void> {
	await sleep(simulation.clock, delayMs);
	Object.assign(simulation.network.faults, {lossRate: 0, duplicateRate: 0, maxDelayMs: 3});
}

async function reconnectAfter(simulation: FaultSimulation, cutFrom: Set<string>, host: string, delayMs: number): Promise<void> {
	await sleep(simulation.clock, delayMs);
	cutFrom.delete(host);
}
