import {createHash} from 'node:crypto';

/** Characters of one block of prompt prefix: 64 tokens of about 4 characters. */
const blockCharacters = 256;
const digestLength = 16;

/** Digests of the growing prefixes of a prompt, shortest first. */
export function prefixDigests(prompt: string): string[] {
	const digests: string[] = [];
	const hash = createHash('sha256');
	for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
		hash.update(prompt.slice(end - blockCharacters, end));
		digests.push(hash.copy().digest('hex').slice(0, digestLength));
	}

	return digests;
}
