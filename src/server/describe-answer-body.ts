import {isSuccess} from '../core/edge/is-success.ts';
import type {AnswerBody} from './answer-body.ts';

type AnswerHeaders = {
	readonly method: string;
	readonly status: number;
	/** Value of a header, by its name in lower case. */
	readonly header: (name: string) => string | undefined;
};

const statusesWithoutBody = new Set([204, 205, 304]);
const eventsTypePattern = /^text\/event-stream\b/iv;
const jsonTypePattern = /^application\/(?:[^;]+\+)?json\b/iv;

/** Reads from an answer's status and headers what its body is. */
export function describeAnswerBody({method, status, header}: AnswerHeaders): AnswerBody {
	const hasBody = method !== 'HEAD' && !statusesWithoutBody.has(status);
	const lastCoding = header('transfer-encoding')?.split(',').at(-1)?.trim().toLowerCase();
	// Of the transfer codings only chunks tell where the body ends (RFC 9112, section 6.3).
	const unframed = hasBody && (lastCoding === undefined ? header('content-length') === undefined : lastCoding !== 'chunked');
	return {format: readFormat(header), unframed, mayBeEmpty: !unframed || !isSuccess(status)};
}

function readFormat(header: AnswerHeaders['header']): AnswerBody['format'] {
	const type = header('content-type') ?? '';
	if ((header('content-encoding') ?? 'identity') !== 'identity') {
		return 'other';
	}

	return eventsTypePattern.test(type) ? 'events' : (jsonTypePattern.test(type) ? 'json' : 'other');
}
