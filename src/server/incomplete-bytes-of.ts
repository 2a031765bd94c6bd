import type {Buffer} from 'node:buffer';
import type {AnswerBody} from './answer-body.ts';
import {SseSplitter} from './sse-splitter.ts';

/**
 * Size of the part of a body that has no end, in bytes; 0 if nothing shows that the body was broken off. A stream must
 * not end inside an event, and JSON that ends with its connection must be a whole document.
 */
export function incompleteBytesOf(body: Buffer, {format, unframed}: AnswerBody): number {
	if (format === 'events') {
		const splitter = new SseSplitter();
		splitter.push(body);
		return splitter.incompleteBytes;
	}

	return format === 'json' && unframed && !isJson(body) ? body.length : 0;
}

function isJson(body: Buffer): boolean {
	try {
		JSON.parse(body.toString('utf8'));
		return true;
	} catch {
		return false;
	}
}
