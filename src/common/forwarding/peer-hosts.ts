import {type EntryHost} from '../control/entry-host.js';
import {ServerRecord} from './server-pool.js';

/** Time in seconds for which a host that refused a request handed over to it gets no further ones; doubled at each refusal in a row. */
const firstPauseSeconds = 1;
const maxPauseSeconds = 8;
/** Number of requests of this host in flight at a host up to which one that has taken requests over is preferred to one that is untried. */
const maxPreferredInFlight = 4;

type Peer = {
	readonly record: ServerRecord;
	/** Number of refusals in a row. */
	refusals: number;
	/** Whether the host took over the last request offered to it. */
	isProven: boolean;
};

/** The other entry hosts, to which a host without links to the servers hands requests over. */
export class PeerHosts {
	private readonly _peers = new Map<string, Peer>();

	/** `self` is the name of this host. */
	constructor(private readonly _self: string) {}

	/** Addresses of the other hosts for callers. */
	get addresses(): ReadonlySet<string> {
		return new Set([...this._peers.values()].map(({record}) => record.server.address));
	}

	/** Whether a host with this record is listed. */
	has(record: ServerRecord): boolean {
		return this._peers.get(record.server.id)?.record === record;
	}

	/** Replaces the hosts with those of the directory. */
	update(hosts: Iterable<EntryHost>): void {
		const known = new Map(this._peers);
		this._peers.clear();
		for (const {host, incarnation, address, zone, leaving} of hosts) {
			if (host === this._self || leaving) {
				continue;
			}

			const peer = known.get(host);
			this._peers.set(host, peer?.record.server.incarnation === incarnation && peer.record.server.address === address
				? peer
				: {
					record: new ServerRecord({
						id: host, incarnation, address, zone, kind: 'plain', offers: [], services: [], checksFencing: false, checksSender: false, capacity: 1,
					}), refusals: 0, isProven: false,
				});
		}
	}

	/**
	Chooses the host that takes a request over, of those that have not refused one lately: one that took over the last request
	offered to it and has few of this host in flight, else the one with the fewest. `random` breaks ties.
	*/
	choose(excluded: ReadonlySet<string>, now: number, random: () => number): ServerRecord | undefined {
		const open = [...this._peers.values()].filter(({record}) => !excluded.has(record.key) && record.accepts(now) && record.health.isAvailable(now));
		const proven = open.filter(({record, isProven}) => isProven && record.inFlight < maxPreferredInFlight);
		const candidates = proven.length > 0 ? proven : open;
		const least = Math.min(...candidates.map(({record}) => record.inFlight));
		const idlest = candidates.filter(({record}) => record.inFlight === least);
		return idlest[Math.floor(random() * idlest.length)]?.record;
	}

	/** Records that a host took a request over. */
	recordTaken({server}: ServerRecord): void {
		const peer = this._peers.get(server.id);
		if (peer) {
			peer.refusals = 0;
			peer.isProven = true;
		}
	}

	/** Records that a host refused a request handed over to it. */
	recordRefusal(record: ServerRecord, now: number): void {
		const peer = this._peers.get(record.server.id);
		if (peer) {
			record.recordPause(Math.min(maxPauseSeconds, firstPauseSeconds * (2 ** peer.refusals)), now);
			peer.refusals++;
			peer.isProven = false;
		}
	}
}
