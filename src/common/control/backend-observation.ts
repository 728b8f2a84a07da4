/** One incarnation of a backend server. */
export interface BackendRef {
	readonly id: string;
	readonly incarnation: number;
}

/** Observation of a backend server by a daemon: `silent`, no announcement (reported by its home host only), or `failed`, a failed request or probe. */
export interface BackendObservation extends BackendRef {
	readonly kind: 'silent' | 'failed';
}
