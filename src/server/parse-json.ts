import {type Buffer, isUtf8} from 'node:buffer';

/** Parses JSON; returns undefined if the bytes are not valid JSON in UTF-8. */
export function parseJson(body: Buffer): unknown {
	if (!isUtf8(body)) {
		return undefined;
	}

	try {
		return JSON.parse(body.toString('utf8'));
	} catch {
		return undefined;
	}
}
