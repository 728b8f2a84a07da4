/** Urgency of a request, most urgent first. */
export const urgency = {
	urgent: 'urgent',
	normal: 'normal',
	batch: 'batch',
} as const;
export type Urgency = typeof urgency[keyof typeof urgency];
