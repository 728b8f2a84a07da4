import {type DocumentIssue} from '../common/documents/document-error.js';
import {type CommandContext} from './command-context.js';

/** Result of checking the text of a document. */
export interface CheckedDocument {
	/** Names the document, for example `the document of notes`. */
	readonly title: string;
	/** What is compared with the document in force. */
	readonly value: unknown;
	/** Why the document is refused; empty for a valid one. */
	readonly errors: readonly DocumentIssue[];
	/** Parts of a valid document that have no effect or contradict each other. */
	readonly warnings: readonly DocumentIssue[];
}

/** A kind of document that `catkinbeam check` reads. */
export interface CheckedFormat {
	/** Whether a text, which may be malformed, is such a document. */
	matches(text: string): boolean;
	check(text: string): CheckedDocument;
	/** Reads the document in force that a valid document would replace; undefined when there is none. */
	readInForce(ctx: CommandContext, value: unknown): Promise<unknown>;
	/** Warns of a valid document that would not replace the one in force. */
	compare?(inForce: unknown, value: unknown): readonly DocumentIssue[];
}
