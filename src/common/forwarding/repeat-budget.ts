/** Why a request is sent once more. */
export const repeatPurpose = {
	/** An attempt failed or was refused. */
	retry: 'retry',
	/** A larger model is asked after a doubtful answer. */
	escalation: 'escalation',
} as const;
export type RepeatPurpose = typeof repeatPurpose[keyof typeof repeatPurpose];

/** Limits how often the requests of one service are sent more than once. */
export interface RepeatBudget {
	/** Records a request of a caller; not to be called for its repeats, nor for requests that another host has handed over. */
	recordRequest(): void;
	/** Takes a repeat from the budget. @returns false if none is left for this purpose. */
	take(purpose: RepeatPurpose): boolean;
}
