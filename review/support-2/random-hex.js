import {randomBytes} from 'node:crypto';

/** A random number of `bytes` bytes, in hexadecimal. */
export function randomHex(bytes) {
	return randomBytes(bytes).toString('hex');
}
