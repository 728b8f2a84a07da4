import {StringDecoder} from 'node:string_decoder';

/** Maximum length of an event in characters; a longer one means a broken stream and must not fill the memory. */
const maxEventCharacters = 4 * 1024 * 1024;

/** Splits a byte stream into the data of its server-sent events. */
export class SseParser {
	private readonly _decoder = new StringDecoder('utf8');
	private _partialLine = '';

	/**
	Parses the next bytes. @returns the data of the events that are now complete.

	@throws RangeError when an event exceeds 4 Mi characters.
	*/
	push(bytes: Uint8Array): string[] {
		const lines = (this._partialLine + this._decoder.write(bytes)).split('\n');
		this._partialLine = lines.pop()!;
		if (this._partialLine.length > maxEventCharacters) {
			throw new RangeError('a server-sent event exceeds 4 Mi characters');
		}

		const found: string[] = [];
		for (const line of lines) {
			if (line.startsWith('data:')) {
				found.push(line.slice(5).trim());
			}
		}

		return found;
	}
}
