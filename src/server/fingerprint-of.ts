import {sha256} from './sha256.ts';

/** Length of a fingerprint, in hexadecimal digits. */
const digits = 32;

/** Digest of a content within a scope: equal for the same content in the same scope. */
export function fingerprintOf(scope: string, content: string | Uint8Array): string {
	return sha256(`${scope}\n`, content).slice(0, digits);
}
