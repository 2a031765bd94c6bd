import {createHash} from 'node:crypto';

const digestLength = 12;

/** Short SHA-256 digest of a request's content, used in run logs and answers. */
export function promptDigest(content: string): string {
	return createHash('sha256').update(content).digest('hex').slice(0, digestLength);
}
