import {hashString} from '../base/hash-string.js';
import {type ControlResult} from './control-result.js';

/** Outcome of a change. Only a digest of the content is kept, because each daemon stores the records of 10,000 changes. */
export interface ChangeRecord {
	readonly digest: string;
	readonly result: ControlResult;
}

/** Length and 64-bit digest of the content of a change. Detects accidental reuse of a change id, not a deliberate collision. */
export function changeDigest(content: unknown): string {
	const text = JSON.stringify(content);
	return `${text.length.toString(36)}-${hashString(text).toString(36)}-${hashString(text, 1).toString(36)}`;
}
