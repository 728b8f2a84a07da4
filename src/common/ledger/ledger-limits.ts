const hourMs = 3_600_000;

/** Limits of the state of one ledger group. The state refuses or drops what exceeds them, so that memory is bounded. */
export interface LedgerLimits {
	/** Open requests; a further `open` is refused. At 8,000 requests/s in one group and 10 s per request, 80,000 are open. */
	readonly maxOpen: number;
	/** Idempotency keys of running and closed requests. A further `open` with a key is refused: if a key were dropped instead, its request could run twice. */
	readonly maxKeys: number;
	/** Total length of all recorded answers in UTF-16 units. The oldest answers are dropped first; their keys stay. */
	readonly maxAnswerLength: number;
	/** Session pins. At the limit the least recently used pins expire early, except those used within `minPinIdleMs`. */
	readonly maxPins: number;
	/** Time in milliseconds for which an unused pin is kept even at the limit. If no pin can expire, the first `pin` of a new session is refused. */
	readonly minPinIdleMs: number;
	/** Rows of the totals. The rows of the oldest day are dropped first; they remain in the archive, which is the log. */
	readonly maxTotalRows: number;
	/** Bills kept for the command line. The limit also applies separately to bills with outcome `unknown` and to pin replacements. */
	readonly maxHistory: number;
	/** Incarnations of entry hosts, fenced ones included. At 320 restarts a day, 10,000 are enough for a month. */
	readonly maxIncarnations: number;
	/** Time in milliseconds for which a key is kept after the close of its request. */
	readonly keyRetentionMs: number;
	/** Time in milliseconds without use after which a pin expires. */
	readonly pinRetentionMs: number;
}

/**
Limits in production. `bench/ledger.ts` measures 469 bytes per open request, 474 per closed key, 136 per pin, 302 per row
of the totals and 907 per bill, so a full group takes about 570 MB, or 640 MB if the answers contain characters outside
Latin-1. 500,000 keys allow 5.8 requests/s with a key over 24 h; 1,000,000 pins allow 278 new sessions/s over the hour of
`minPinIdleMs`.
*/
export const defaultLedgerLimits: LedgerLimits = {
	maxOpen: 200_000,
	maxKeys: 500_000,
	maxAnswerLength: 67_108_864,
	maxPins: 1_000_000,
	minPinIdleMs: hourMs,
	maxTotalRows: 100_000,
	maxHistory: 1000,
	maxIncarnations: 10_000,
	keyRetentionMs: 24 * hourMs,
	pinRetentionMs: 24 * hourMs,
};

/** Maximum length of a name, id or key in UTF-16 units. */
export const maxNameLength = 256;
/** Maximum size of a recorded answer in bytes of UTF-8. */
export const maxAnswerBytes = 16_384;
/** Maximum number of attempts of one request: 16 versions with 3 attempts each are 48. */
export const maxAttempts = 64;
/** Maximum number of records in one batch. */
export const maxBatchRecords = 256;
