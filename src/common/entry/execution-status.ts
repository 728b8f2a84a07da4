/** Whether a request ran at a backend server. `no` is used only when it is certain. */
export const executionStatus = {
	no: 'no',
	yes: 'yes',
	unknown: 'unknown',
} as const;
export type ExecutionStatus = typeof executionStatus[keyof typeof executionStatus];
