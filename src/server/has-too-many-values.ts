import {constants} from '../settings/constants.ts';
import {parsedJsonSize} from './parsed-json-size.ts';

/** Text up to this length, in characters, can't take too much once it is parsed. */
const smallCharacters = 65_536;

/** True if the values of a JSON text would take more than `constants.maxParsedJsonBytes` once it is parsed. */
export function hasTooManyValues(text: string): boolean {
	return text.length > smallCharacters && parsedJsonSize(text) > constants.maxParsedJsonBytes;
}
