/** Kind of a service: requests are answered by model engines or forwarded to a plain HTTP service. */
export const serviceKind = {
	model: 'model',
	plain: 'plain',
} as const;
export type ServiceKind = typeof serviceKind[keyof typeof serviceKind];
