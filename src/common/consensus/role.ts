/** Role of a member in its group. */
export const role = {
	leader: 'leader',
	candidate: 'candidate',
	follower: 'follower',
	learner: 'learner',
} as const;
export type Role = typeof role[keyof typeof role];
