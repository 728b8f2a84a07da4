import {hashString} from '../base/hash-string.js';
import {type ConfigLease} from './config-lease.js';
import {type ControlView} from './control-view.js';
import {EntryDraw} from './entry-draw.js';
import {type EntryHost} from './entry-host.js';

/** Answer to `GET /v1/entries`. */
export interface EntryListReply {
	/** Entry hosts in order of preference. */
	readonly entries: ReadonlyArray<{readonly host: string; readonly address: string; readonly zone: string}>;
	/** Time in seconds for which callers may cache the list. */
	readonly keepSeconds: number;
}

/** Distance between two zones; by default 0 within a zone and 1 between zones. */
export type ZoneDistance = (from: string, to: string) => number;

/** Default time in seconds for which callers may cache the list of entry hosts. */
export const defaultKeepSeconds = 10;

/** Options of `EntryList`. */
export interface EntryListOptions {
	/** Time in seconds for which callers may cache the list of entry hosts. */
	readonly keepSeconds?: number | undefined;
	readonly distance?: ZoneDistance;
	/** Maximum number of listed hosts; by default all are listed, whatever their capacity. */
	readonly maxLength?: number | undefined;
}

/** List of the entry hosts for callers. */
export class EntryList {
	/** Time in seconds for which callers may cache the list of entry hosts. */
	readonly keepSeconds: number;
	private readonly _distance: ZoneDistance;
	private _draw: EntryDraw | undefined;

	constructor(
		private readonly _view: Pick<ControlView, 'entryHosts'>,
		private readonly _lease: Pick<ConfigLease, 'isValid'>,
		private readonly _options: EntryListOptions = {},
	) {
		this.keepSeconds = _options.keepSeconds ?? defaultKeepSeconds;
		this._distance = _options.distance ?? ((from, to) => from === to ? 0 : 1);
	}

	/**
	Lists the live entry hosts that are not leaving, nearest zone first. At equal distance the order depends on the caller,
	which spreads callers over the hosts and gives each caller a stable order.

	With a maximum length, the list has a host with a probability proportional to its capacity, whatever its zone. The draw depends on the caller and on
	`client`, which tells clients with the same name apart.
	*/
	for(caller: string, zone: string, client = ''): EntryListReply {
		const seed = hashString(caller);
		const ranked = this._listed(`${caller} ${client}`)
			.map(entry => ({entry, distance: this._distance(zone, entry.zone), rank: hashString(entry.host, seed)}));
		ranked.sort((a, b) => a.distance - b.distance || a.rank - b.rank || (a.entry.host < b.entry.host ? -1 : 1));
		// Without a lease the list may be stale, so callers must request it again soon.
		const keepSeconds = this._lease.isValid() ? this.keepSeconds : Math.min(1, this.keepSeconds);
		return {entries: ranked.map(({entry}) => toItem(entry)), keepSeconds};
	}

	private _listed(client: string): EntryHost[] {
		const {maxLength} = this._options;
		const entries = [...this._view.entryHosts.values()].filter(entry => !entry.leaving);
		if (maxLength === undefined || entries.length === 0) {
			return entries;
		}

		if (!this._draw?.isOf(entries)) {
			this._draw = new EntryDraw(entries, maxLength);
		}

		return this._draw.draw(hashString(client));
	}
}

function toItem({host, address, zone}: EntryHost): EntryListReply['entries'][number] {
	return {host, address, zone};
}
