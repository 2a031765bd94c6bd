import {hash32} from '../core/common/hash32.ts';
import {constants} from '../settings/constants.ts';

/**
 * Digests of the prefixes of a prompt that end at each block boundary, in order. Each digest covers the previous one,
 * so equal digests stand for equal prefixes, up to 32-bit hash collisions; a shorter last block has none.
 * At most `constants.maxPrefixBlocks` are returned.
 */
export function prefixBlocks(prompt: string): string[] {
	const digests: string[] = [];
	const size = constants.prefixBlockCharacters;
	let previous = '';
	for (let end = size; end <= prompt.length && digests.length < constants.maxPrefixBlocks; end += size) {
		previous = hash32(previous + prompt.slice(end - size, end)).toString(36);
		digests.push(previous);
	}

	return digests;
}
