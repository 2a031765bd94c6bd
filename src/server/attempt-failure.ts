import type {ConnectionUse} from '../core/common/connection-use.ts';
import type {CoreEvent} from '../core/events.ts';
import type {AttemptResponseReader} from './attempt-response-reader.ts';
import {ConnectError} from './connect-error.ts';
import {isMalformedAnswer} from './is-malformed-answer.ts';
import {TargetError} from './target-error.ts';

type Failure = Extract<CoreEvent, {type: 'attempt-failed'}>['failure'];

const timeoutErrorCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Converts an error of an attempt to the failure that is reported to the core; an error without a known code counts as `reset`. `use` is the connection on which an answer came, if any. */
export function attemptFailure(error: unknown, reader: Pick<AttemptResponseReader, 'passedOn' | 'tokens'>, use?: ConnectionUse): Failure {
	const base = {passedOn: reader.passedOn, tokens: reader.tokens, use};
	if (error instanceof TargetError) {
		return {
			...base,
			reason: error.reason,
			notSent: error.notRun,
			refusal: error.refusal,
			status: error.status,
			retryAfterMs: error.retryAfterMs,
		};
	}

	if (error instanceof ConnectError) {
		return {...base, reason: 'connect', notSent: true};
	}

	const code = (error as {code?: string}).code ?? '';
	return {...base, reason: timeoutErrorCodes.has(code) ? 'silence' : (isMalformedAnswer(code) ? 'malformed' : 'reset'), notSent: false};
}
