/** Encodes texts for storage and transfer. `decode` returns what was encoded, on all hosts and in all releases. */
export interface TextCodec {
	encode(text: string): string;
	/** @throws Error when the data was not written by this codec. */
	decode(data: string): string;
}

/** Codec that leaves texts as they are. */
export const plainTextCodec: TextCodec = {encode: text => text, decode: data => data};
