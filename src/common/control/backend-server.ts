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

/** Key of one incarnation of a backend server. */
export function backendKey({id, incarnation}: Pick<BackendServer, 'id' | 'incarnation'>): string {
	return `${id}#${incarnation}`;
}

/** One process of a backend server as it announced itself. */
export interface BackendServer {
	readonly id: string;
	/** Chosen by the backend server, higher at each start; all state of a process is keyed by id and incarnation. */
	readonly incarnation: number;
	/** `host:port`. */
	readonly address: string;
	readonly zone: string;
	readonly kind: BackendKind;
	/** Versions served by an engine; empty for a plain service. */
	readonly offers: readonly Offer[];
	/** Names of the services that a plain backend server answers. */
	readonly services: readonly string[];
	/** Whether it refuses orders with a stale fencing number. */
	readonly checksFencing: boolean;
	/** Whether it verifies the sender of an order. */
	readonly checksSender: boolean;
	/** Maximum number of concurrent requests. */
	readonly capacity: number;
	/** Whether it accepts orders, for example to load a version; absent means no. */
	readonly acceptsOrders?: boolean;
	/** Whether it can continue an interrupted answer after the tokens already received; absent means no. */
	readonly canResume?: boolean;
	/** Software version, by which a roll-out of a service distinguishes old and new backend servers; absent if not announced. */
	readonly release?: string;
	/** Whether it is draining and takes no new work; absent means no. */
	readonly isDraining?: boolean;
	/** Time in milliseconds for which it stays cold after its announcement: it has just started and ends under its usual load. Absent when it is warm. */
	readonly coldMs?: number;
	/** Revision since which the control state marks it as cold; absent when it is warm. Never part of an announcement. */
	readonly coldSince?: number;
}
