import type {Prompt} from './prompt.ts';

/** The parts of a prompt that other requests may have too: all but the last, which is the request's own. */
export function sharedParts({parts}: Prompt): Prompt['parts'] {
	return parts.slice(0, -1);
}
