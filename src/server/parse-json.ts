import {type Buffer, isUtf8} from 'node:buffer';
import {parseJsonText} from './parse-json-text.ts';

/** Parses JSON; returns undefined if the bytes are not valid JSON in UTF-8, or have too many values. */
export function parseJson(body: Buffer): unknown {
	if (!isUtf8(body)) {
		return undefined;
	}

	try {
		return parseJsonText(body.toString('utf8'));
	} catch {
		return undefined;
	}
}
