/** Subject of a request count. */
export interface BurnSubject {
	readonly service: string;
	/** Name of the objective within the service. */
	readonly objective: string;
	/** Version that answered; `-` when none did, `*` when versions are not distinguished. */
	readonly version: string;
	/** Customer; `*` when customers are not distinguished. */
	readonly customer: string;
}

/** Returns the key of a subject; none of its names contains the separator. */
export function burnKey({service, objective, version, customer}: BurnSubject): string {
	return `${service}|${objective}|${version}|${customer}`;
}

/** Parses the key of a subject. */
export function parseBurnKey(key: string): BurnSubject {
	const [service = '', objective = '', version = '', customer = ''] = key.split('|');
	return {
		service, objective, version, customer,
	};
}
