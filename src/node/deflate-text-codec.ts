import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type TextCodec} from '../common/base/text-codec.js';

/** Maximum size in bytes of a decoded text, above the largest configuration that an operator can submit. */
const maxDecodedBytes = 64 * 1024 * 1024;
/** Fastest level: most of the gain on configurations comes from repeated names, which it finds. */
const level = 1;

/** Compresses texts with DEFLATE (RFC 1951) and encodes them in base64. */
export const deflateTextCodec: TextCodec = {
	encode: text => deflateRawSync(text, {level}).toString('base64'),
	decode: data => inflateRawSync(Buffer.from(data, 'base64'), {maxOutputLength: maxDecodedBytes}).toString('utf8'),
};
