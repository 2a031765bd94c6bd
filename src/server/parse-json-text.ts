import {hasTooManyValues} from './has-too-many-values.ts';

/**
 * Parses a JSON text of a client.
 *
 * @throws SyntaxError if it is not JSON, or if it has too many values.
 */
export function parseJsonText(text: string): unknown {
	if (hasTooManyValues(text)) {
		throw new SyntaxError('the text has too many values');
	}

	return JSON.parse(text);
}
