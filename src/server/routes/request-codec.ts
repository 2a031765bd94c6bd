import type {AnswerHead} from '../../core/edge/answer-head.ts';
import type {OutgoingHeaderOptions} from './outgoing-header-options.ts';
import type {RequestHead} from './request-head.ts';

/** Headers as on the wire: alternating names and values. */
type RawHeaders = readonly string[];

/** Reads and writes the heads of requests and answers of callers, entries and targets, in one platform's formats. */
export interface RequestCodec {
	/** Value of the `WWW-Authenticate` header in the answer to a request that lacks a key. */
	readonly challenge: string;
	readRequest(req: {method: string; url: string; rawHeaders: RawHeaders}): RequestHead;
	/** Headers of a request to a target or to another entry, without those that describe its body. */
	outgoingHeaders(head: RequestHead, options: OutgoingHeaderOptions): string[];
	/** Reads the platform's part of the head of an answer; `key` is the caller's id of the request that it answers, undefined if the answer names none. What entries tell each other is read from an entry only. `sender`: `target` by default. */
	readAnswer(status: number, rawHeaders: RawHeaders, sender?: 'target' | 'entry'): {head: Omit<AnswerHead, 'unframed' | 'eventStream'>; key?: string};
	/** Headers by which an answer names the request with the caller's id `key`, in alternating names and values; none for a request without an id. */
	namingHeaders(key: string): string[];
	/** Headers of a target's answer that the caller receives, without those that describe its body. */
	callerHeaders(rawHeaders: RawHeaders): string[];
	/** Value of the `Retry-After` header for a time in milliseconds. */
	formatRetryAfter(milliseconds: number): string;
}
