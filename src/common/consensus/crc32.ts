/* eslint-disable no-bitwise -- a checksum is defined by bit operations */
const polynomial = 0xED_B8_83_20;

const table = Uint32Array.from({length: 256}, (_, byte) => {
	let value = byte;
	for (let bit = 0; bit < 8; bit++) {
		value = (value & 1) === 1 ? (value >>> 1) ^ polynomial : value >>> 1;
	}

	return value;
});

/** CRC-32 (IEEE 802.3) of the bytes. `previous` is the checksum of the preceding bytes. */
export function crc32(bytes: Uint8Array, previous = 0): number {
	let crc = ~previous;
	for (const byte of bytes) {
		crc = table[(crc ^ byte) & 0xFF]! ^ (crc >>> 8);
	}

	return ~crc >>> 0;
}
/* eslint-enable no-bitwise */
