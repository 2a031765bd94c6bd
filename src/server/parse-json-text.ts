import {constants} from '../settings/constants.ts';
import {parsedJsonSize} from './parsed-json-size.ts';

/** Text up to this length, in characters, can't take too much once it is parsed. */
const smallCharacters = 65_536;

/**
 * Parses a JSON text of a client.
 *
 * @throws SyntaxError if it is not JSON, or if its values would take more than `constants.maxParsedJsonBytes`.
 */
export function parseJsonText(text: string): unknown {
	if (text.length > smallCharacters && parsedJsonSize(text) > constants.maxParsedJsonBytes) {
		throw new SyntaxError('the values take too much memory');
	}

	return JSON.parse(text);
}
