import {createHash} from 'node:crypto';

/** SHA-256 in lower-case hexadecimal, over the parts in order. */
export function sha256(...parts: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part);
	}

	return hash.digest('hex');
}
