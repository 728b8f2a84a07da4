/** Exit codes of the command line. They do not change between releases. */
export const exitCode = {
	ok: 0,
	/** Unexpected failure. */
	failed: 1,
	/** Invalid flag, argument or environment variable. */
	usage: 2,
	/** The document or the change is not valid. */
	invalid: 3,
	/** The configuration was changed in the meantime, or the change id was used for another change. */
	conflict: 4,
	/** The daemon did not answer, or it cannot reach the control leader. */
	unreachable: 5,
	/** The operator secret is missing or wrong. */
	unauthorized: 6,
	/** The requested object does not exist. */
	notFound: 7,
	/** The change was accepted but did not come into force within the timeout. */
	notInForce: 8,
} as const;
export type ExitCode = typeof exitCode[keyof typeof exitCode];
