import {type ChangeEvacuation} from './control-command.js';
import {type ControlResult} from './control-result.js';

/** The last order on the evacuation of an availability zone. */
export interface Evacuation {
	readonly zone: string;
	/** Whether backend servers of the zone get no requests. */
	readonly isActive: boolean;
	/** Revision of the order. */
	readonly revision: number;
	/** Time since which it is in effect, at the leader in Unix milliseconds, for display. Repeated orders leave it unchanged. */
	readonly at: number;
}

/** Maximum number of zones with an order that are remembered; far above the zones of a deployment. */
const maxZones = 1000;

/** Evacuations of availability zones, part of the control state. */
export class EvacuationTable {
	private readonly _orders = new Map<string, Evacuation>();
	private _active: ReadonlySet<string> = new Set();

	/** Last order of each zone, withdrawals included. */
	get orders(): ReadonlyMap<string, Evacuation> {
		return this._orders;
	}

	/** Zones under evacuation. Replaced, not mutated, when an order changes it. */
	get active(): ReadonlySet<string> {
		return this._active;
	}

	/**
	Applies an order. One that a later order to the contrary has overtaken has no effect. One whose effect is in place already is
	accepted and becomes the last order, so that a late copy of an earlier order to the contrary does not undo it.
	*/
	apply(index: number, {type, zone, base, at}: ChangeEvacuation): ControlResult {
		const last = this._orders.get(zone);
		const revision = last?.revision ?? 0;
		const isActive = type === 'evacuate-zone';
		const isRepeated = (last?.isActive ?? false) === isActive;
		if (!isRepeated && base !== revision) {
			return {
				status: 'conflict', code: 'evacuation-changed', message: `the evacuation of ${zone} was changed at revision ${revision}, after revision ${base}`, revision,
			};
		}

		if (!last && this._orders.size >= maxZones) {
			return {status: 'rejected', code: 'too-many-zones', message: `there are orders for ${maxZones} zones`};
		}

		this._orders.set(zone, {
			zone, isActive, revision: index, at: isRepeated && last ? last.at : at,
		});
		if (!isRepeated) {
			this._refresh();
		}

		return {status: 'accepted', revision: index};
	}

	snapshot(): Evacuation[] {
		return [...this._orders.values()];
	}

	restore(orders: readonly Evacuation[] = []): void {
		this._orders.clear();
		for (const order of orders) {
			this._orders.set(order.zone, order);
		}

		this._refresh();
	}

	private _refresh(): void {
		this._active = new Set([...this._orders.values()].filter(({isActive}) => isActive).map(({zone}) => zone));
	}
}
