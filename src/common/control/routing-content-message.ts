/** Request of a daemon for a part of the content of a routing configuration. */
export interface RoutingContentRequest {
	/** Lowest revision that the daemon wants; it gets the newest one that the control host has applied. */
	readonly revision: number;
	/** Revision of the configuration that the daemon has, 0 when it has none; for a later part the base of the parts before it. */
	readonly base: number;
	/** Revision of which the daemon has the first `offset` characters; undefined for the first part. */
	readonly continued?: number | undefined;
	readonly offset: number;
}

/** Part of the content of a routing configuration, as its encoded difference to an earlier one. */
export interface RoutingContentReply {
	readonly version: number;
	readonly revision: number;
	/** Revision of the configuration from which the difference was computed; 0 for an empty text. */
	readonly base: number;
	/** `hashString` of the text. */
	readonly checksum: number;
	/** Length of the encoded difference in characters. */
	readonly length: number;
	/** The characters from the requested offset on. */
	readonly data: string;
}
