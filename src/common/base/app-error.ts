/** Base class of all errors of this project. `code` is stable across releases; the message is for humans. */
export abstract class AppError extends Error {
	abstract readonly code: string;

	constructor(message: string, options?: {cause?: unknown}) {
		super(message, options);
		this.name = new.target.name;
	}
}
