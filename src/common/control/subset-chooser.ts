import {hashString} from '../base/hash-string.js';
import {SubsetAssignment} from './subset-assignment.js';

/** A daemon that gets a subset. */
export interface SubsetDaemon {
	readonly host: string;
	readonly zone: string;
}

/** A backend server of a service; `versions` are the versions of the service that it offers, empty for plain services. */
export interface SubsetServer {
	readonly id: string;
	readonly zone: string;
	readonly versions: readonly string[];
}

type Daemon = SubsetDaemon & {hash: number; chosen: Set<string>};
type Server = SubsetServer & {hash: number};

/** Maximum number of backend servers of one service in a subset, so that their loads fit the byte budget. */
export const maxSubsetSize = 24;
/**
Share of the slots that are assigned by backend server, so that each is covered; the rest is assigned by daemon. With 370
daemons and 690 engines of one version, the least covered engine has 6, 9 and 12 daemons at shares of 0.5, 0.75 and 1, and
a replaced daemon changes 30, 64 and 76 slots (bench/subsets.ts).
*/
const coverageShare = 0.75;
/** Number of backend servers that are assigned to daemons in one step of a plan. */
const serversPerStep = 32;

/**
Chooses the backend servers of one service that each daemon uses, by rendezvous hashing with zone preference.

First, each backend server takes free slots at the same number of daemons, which guarantees a minimum coverage. Then each
daemon fills its remaining slots by its own ranking, which keeps the effect of a replaced host small.
*/
export class SubsetChooser {
	private readonly _daemons: readonly Daemon[];
	private readonly _servers: readonly Server[];

	constructor(daemons: readonly SubsetDaemon[], servers: readonly SubsetServer[], private readonly _coverageShare = coverageShare) {
		const byHash = (a: {hash: number}, b: {hash: number}) => a.hash - b.hash;
		this._daemons = daemons.map(daemon => ({...daemon, hash: hashString(daemon.host), chosen: new Set<string>()})).toSorted(byHash);
		this._servers = servers.map(server => ({...server, hash: hashString(server.id, 1)})).toSorted(byHash);
	}

	/** Ids of the chosen backend servers by daemon host. */
	choose(): Map<string, ReadonlySet<string>> {
		const steps = this.steps();
		for (;;) {
			const {done, value} = steps.next();
			if (done) {
				return value;
			}
		}
	}

	/** Does the same as `choose` in steps of about 10,000 pairs, for a caller that must not stall. May be called only once. */
	* steps(): Generator<void, Map<string, ReadonlySet<string>>> {
		const groups = groupByRarestVersion(this._servers);
		const quotas = divide(maxSubsetSize, groups.map(group => group.length));
		for (const [index, group] of groups.entries()) {
			yield * this._chooseGroup(group, quotas[index]!);
		}

		return new Map(this._daemons.map(({host, chosen}) => [host, chosen]));
	}

	private * _chooseGroup(group: readonly Server[], quota: number): Generator<void> {
		const assignment = new SubsetAssignment(this._daemons, group, quota);
		const slotsPerServer = Math.max(1, Math.floor(this._coverageShare * quota * this._daemons.length / group.length));
		// Each server gets one slot before any server gets a second one, in case the slots run out.
		for (let turn = 0; turn < slotsPerServer * group.length; turn++) {
			assignment.assignDaemon(turn % group.length);
			if (turn % serversPerStep === 0) {
				yield;
			}
		}

		for (const [index, {chosen}] of this._daemons.entries()) {
			assignment.fill(index);
			for (const id of assignment.serversOf(index)) {
				chosen.add(id);
			}

			yield;
		}
	}
}

/** Groups servers by their rarest version, the one that the fewest servers offer, so that each version gets slots. */
function groupByRarestVersion(servers: readonly Server[]): Server[][] {
	const counts = new Map<string, number>();
	for (const version of servers.flatMap(server => server.versions)) {
		counts.set(version, (counts.get(version) ?? 0) + 1);
	}

	const groups = new Map<string, Server[]>();
	for (const server of servers) {
		const rarest = server.versions.toSorted((a, b) => counts.get(a)! - counts.get(b)! || (a < b ? -1 : 1))[0] ?? '';
		groups.set(rarest, [...groups.get(rarest) ?? [], server]);
	}

	return [...groups].toSorted(([a], [b]) => a < b ? -1 : 1).map(([, group]) => group);
}

/** Divides slots evenly among groups; slots that a small group does not need go to the others. */
function divide(slots: number, sizes: readonly number[]): number[] {
	const quotas = sizes.map(() => 0);
	let left = Math.min(slots, sizes.reduce((sum, size) => sum + size, 0));
	while (left > 0) {
		for (const [index, size] of sizes.entries()) {
			if (left > 0 && quotas[index]! < size) {
				quotas[index]!++;
				left--;
			}
		}
	}

	return quotas;
}
