import {hash32} from '../common/hash32.ts';
import {canonicalJson} from './canonical-json.ts';
import type {Change} from './change.ts';

/** Tells whether two changes have the same content; the time of submission does not count. */
export function changeDigest({operator, number, operations}: Change): string {
	const text = canonicalJson({operator, number, operations});
	return `${text.length}-${hash32(text).toString(16)}-${hash32(`2${text}`).toString(16)}`;
}
