import type {AnswerHead} from '../../core/edge/answer-head.ts';
import type {OutgoingHeaderOptions} from './outgoing-header-options.ts';
import type {RequestHead} from './request-head.ts';

/** Headers as they stand on the wire: name and value by turns. */
type RawHeaders = readonly string[];

/** How callers, entries and targets write requests and answers; formats and names only. */
export interface RequestCodec {
	readRequest(req: {method: string; url: string; rawHeaders: RawHeaders}): RequestHead;
	/** Headers of the request to a target or to another entry, without those for its body. */
	outgoingHeaders(head: RequestHead, options: OutgoingHeaderOptions): string[];
	/** Reads the head of an answer; `key` is the id of the request that it answers. */
	readAnswer(status: number, rawHeaders: RawHeaders): {head: AnswerHead; key?: string};
	/** Headers of a target's answer that the caller gets, without those for its body. */
	callerHeaders(rawHeaders: RawHeaders): string[];
	/** Value of the header that tells a caller when to come back. */
	formatRetryAfter(milliseconds: number): string;
}
