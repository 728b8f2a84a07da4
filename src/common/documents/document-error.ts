import {AppError} from '../base/app-error.js';

/** One problem found in a document. */
export interface DocumentIssue {
	/** Path in the document, for example `customers[0].name`. */
	readonly path: string;
	/** Line in the text, from 1; undefined when the document was not read from text. */
	readonly line?: number;
	readonly message: string;
}

/** A document is malformed or violates a rule; lists every problem. */
export class DocumentError extends AppError {
	readonly code = 'document-invalid' as const;
	readonly data: {issues: readonly DocumentIssue[]};

	constructor(readonly issues: readonly DocumentIssue[], options?: {cause?: unknown}) {
		super(issues.map(issue => issue.path ? `${issue.path}: ${issue.message}` : issue.message).join('; '), options);
		this.data = {issues};
	}
}
