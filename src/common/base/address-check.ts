/** Checks whether addresses can be reached. */
export interface ConnectionCheck {
	/** Whether an address accepts a connection within a timeout. */
	acceptsConnections(address: string): Promise<boolean>;
}

/** Checks addresses of processes. */
export interface AddressCheck {
	/** Whether an address refuses connections, as it does after its process has ended. An address that does not answer refuses none. */
	refusesConnections(address: string): Promise<boolean>;
}
