/** Outcome of a control command. */
export type ControlResult =
	| {readonly status: 'accepted'; readonly revision: number}
	/** The command was stale or had no effect, for example an announcement of an incarnation that has left. */
	| {readonly status: 'ignored'; readonly reason: string}
	/** The change conflicts with an earlier one; `current` is the current document, if any. */
	| {readonly status: 'conflict'; readonly code: 'revision-conflict' | 'change-id-reused' | 'evacuation-changed'; readonly message: string; readonly revision: number; readonly current?: unknown}
	/** The change cannot be applied. */
	| {readonly status: 'rejected'; readonly code: string; readonly message: string};
