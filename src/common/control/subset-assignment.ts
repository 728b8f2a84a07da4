/** A daemon or a backend server. */
type HashedNode = {readonly hash: number; readonly zone: string};

/** Share of a subset from the daemon's own zone, if that has enough backend servers; the rest allows spill-over into other zones. */
const localShare = 2 / 3;
/** Additional weight of pairs within a zone; greater than any hash. */
const zoneWeight = 0x1_00_00_00_00;
/** Weight subtracted from a pair within a zone once the local quota of the daemon is used up. */
const localQuotaPenalty = 4 * zoneWeight;

/**
Assigns one group of backend servers to the slots of daemons. Uses flat arrays and linear scans, because the leader plans
for 370 daemons and 690 engines and must not stall its other work.
*/
export class SubsetAssignment {
	private readonly _weights: Float64Array;
	private readonly _isAssigned: Uint8Array;
	private readonly _used: Uint16Array;
	private readonly _usedLocal: Uint16Array;
	private readonly _localQuota: number;

	constructor(
		private readonly _daemons: readonly HashedNode[],
		private readonly _servers: ReadonlyArray<HashedNode & {readonly id: string}>,
		/** Slots of each daemon. */
		private readonly _quota: number,
	) {
		this._localQuota = Math.ceil(_quota * localShare);
		this._weights = new Float64Array(_daemons.length * _servers.length);
		this._isAssigned = new Uint8Array(_daemons.length * _servers.length);
		this._used = new Uint16Array(_daemons.length);
		this._usedLocal = new Uint16Array(_daemons.length);
		let pair = 0;
		for (const daemon of _daemons) {
			for (const server of _servers) {
				this._weights[pair++] = weight(daemon, server);
			}
		}
	}

	/** Assigns a backend server to the daemon with the highest weight that has a free slot. */
	assignDaemon(server: number): void {
		let best = -1;
		let bestValue = Number.NEGATIVE_INFINITY;
		for (let daemon = 0; daemon < this._daemons.length; daemon++) {
			const value = this._currentWeight(daemon, server);
			if (value > bestValue) {
				best = daemon;
				bestValue = value;
			}
		}

		if (best >= 0) {
			this._assign(best, server);
		}
	}

	/** Fills the free slots of a daemon with the backend servers of the highest weight. */
	fill(daemon: number): void {
		const target = Math.min(this._quota, this._servers.length);
		while (this._used[daemon]! < target) {
			let best = -1;
			let bestValue = Number.NEGATIVE_INFINITY;
			for (let server = 0; server < this._servers.length; server++) {
				const value = this._currentWeight(daemon, server);
				if (value > bestValue) {
					best = server;
					bestValue = value;
				}
			}

			this._assign(daemon, best);
		}
	}

	/** Ids of the backend servers assigned to a daemon. */
	serversOf(daemon: number): string[] {
		const offset = daemon * this._servers.length;
		return this._servers.filter((_, server) => this._isAssigned[offset + server] === 1).map(({id}) => id);
	}

	/** Current weight of a pair; negative infinity when it is already assigned or the daemon has no free slot. */
	private _currentWeight(daemon: number, server: number): number {
		const pair = (daemon * this._servers.length) + server;
		if (this._isAssigned[pair] === 1 || this._used[daemon]! >= this._quota) {
			return Number.NEGATIVE_INFINITY;
		}

		const value = this._weights[pair]!;
		return value >= zoneWeight && this._usedLocal[daemon]! >= this._localQuota ? value - localQuotaPenalty : value;
	}

	private _assign(daemon: number, server: number): void {
		const pair = (daemon * this._servers.length) + server;
		this._isAssigned[pair] = 1;
		this._used[daemon]!++;
		this._usedLocal[daemon]! += this._weights[pair]! >= zoneWeight ? 1 : 0;
	}
}

/** Rendezvous weight of a pair; pairs within a zone rank before all others. */
function weight(daemon: HashedNode, server: HashedNode): number {
	/* eslint-disable no-bitwise -- integer mix of two hashes */
	let mixed = Math.imul(daemon.hash ^ Math.imul(server.hash, 0x9E_37_79_B1), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 15), 0xC2_B2_AE_35);
	return ((mixed ^ (mixed >>> 16)) >>> 0) + (daemon.zone === server.zone ? zoneWeight : 0);
	/* eslint-enable no-bitwise */
}
