import {type VersionRef} from '../documents/version-ref.js';

/** Kind of a backend server. */
export const backendKind = {
	engine: 'engine',
	plain: 'plain',
} as const;
export type BackendKind = typeof backendKind[keyof typeof backendKind];

/** A model version that an engine serves, with its price per million tokens in the operator's currency unit. */
export interface Offer {
	readonly ref: VersionRef;
	readonly inputCost: number;
	readonly outputCost: number;
}

/** Name of one process of a backend server. */
export function backendKey({id, incarnation}: Pick<BackendServer, 'id' | 'incarnation'>): string {
	return `${id}#${incarnation}`;
}

/** One process of a backend server as it announced itself. */
export interface BackendServer {
	readonly id: string;
	/** Chosen by the backend server, greater at each start; everything about it is keyed by id and incarnation. */
	readonly incarnation: number;
	/** `host:port`. */
	readonly address: string;
	readonly zone: string;
	readonly kind: BackendKind;
	/** Versions served by an engine; empty for a plain service. */
	readonly offers: readonly Offer[];
	/** Names of the services that a plain backend server answers. */
	readonly services: readonly string[];
	/** Whether orders with an old fencing number are refused. */
	readonly checksFencing: boolean;
	/** Whether the sender of an order is checked. */
	readonly checksSender: boolean;
	/** Requests that it runs at once. */
	readonly capacity: number;
	/** Whether it takes orders, for example to load a version; absent means no. */
	readonly acceptsOrders?: boolean;
	/** Whether an interrupted answer can be continued after the tokens that were already received; absent means no. */
	readonly canResume?: boolean;
	/** Version of its software, by which a roll-out of a service tells old from new; absent where it names none. */
	readonly release?: string;
	/** Whether it takes no new work any more; absent means no. */
	readonly isDraining?: boolean;
}
