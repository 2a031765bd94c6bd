import {hash32} from '../common/hash32.ts';
import {canonicalJson} from './canonical-json.ts';
import type {Change} from './change.ts';

/** Digest of a change's content, which leaves out the time of submission. */
export function changeDigest({operator, number, operations}: Change): string {
	const text = canonicalJson({operator, number, operations});
	// Two hashes, since 32 bits alone make collisions too likely.
	return `${text.length}-${hash32(text).toString(16)}-${hash32(`2${text}`).toString(16)}`;
}
