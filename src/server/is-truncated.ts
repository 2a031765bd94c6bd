import type {Buffer} from 'node:buffer';
import type {AnswerBody} from './answer-body.ts';
import {SseSplitter} from './sse-splitter.ts';

/**
 * True if a body was broken off. A stream must not end inside an event, JSON that ends with its connection must be a
 * whole document, and a body that may not be empty must have at least one byte.
 */
export function isTruncated(body: Buffer, {format, unframed, mayBeEmpty}: AnswerBody): boolean {
	if (body.length === 0) {
		return !mayBeEmpty;
	}

	if (format === 'events') {
		const splitter = new SseSplitter();
		splitter.push(body);
		return splitter.incompleteBytes > 0;
	}

	return format === 'json' && unframed && !isJson(body);
}

function isJson(body: Buffer): boolean {
	try {
		JSON.parse(body.toString('utf8'));
		return true;
	} catch {
		return false;
	}
}
