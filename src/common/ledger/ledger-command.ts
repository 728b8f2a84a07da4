/** A record as a compact array; see `ledger-codec.ts`. */
export type EncodedRecord = ReadonlyArray<number | string | ReadonlyArray<ReadonlyArray<number | string>>>;

/** A batch on the wire: entry host, incarnation (start of its process in Unix milliseconds), sequence number, records. */
export type EncodedBatch = readonly [entry: string, incarnation: number, sequence: number, records: readonly EncodedRecord[]];

/**
Commands of a ledger log. `at` is a Unix time in milliseconds, set by the leader that proposed the command (see
`LedgerTime`). With the leader's clock, an entry host with a wrong clock cannot expire the keys of others.
*/
export type LedgerCommand =
	| readonly [type: 'batch', at: number, batch: EncodedBatch]
	/** Refuses further batches of this and earlier incarnations of the entry host, and closes their open requests. */
	| readonly [type: 'fence', at: number, entry: string, incarnation: number];
