import {Buffer} from 'node:buffer';
import {sha256} from './sha256.ts';

/** Longest id that is kept as it is, in characters. */
const maxIdCharacters = 64;
/** Shortest part of a string that V8 keeps as a reference to the whole string, in characters. */
const minSliceCharacters = 13;

/** Id of bounded size for one that a client chose, in Latin-1: the same, in memory of its own, or its digest if it is long. */
export function boundedId<Id extends string>(text: string): Id {
	if (text.length > maxIdCharacters) {
		return `sha256:${sha256(text)}` as Id;
	}

	return (text.length < minSliceCharacters ? text : Buffer.from(text, 'latin1').toString('latin1')) as Id;
}
