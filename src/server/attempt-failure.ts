import type {CoreEvent} from '../core/events.ts';
import type {AttemptAnswer} from './attempt-answer.ts';
import {TargetError} from './target-error.ts';

type Failure = Extract<CoreEvent, {type: 'attempt-failed'}>['failure'];

/** Codes of errors that come up before a connection stands: no byte of the request can have left. */
const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);
const silenceCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Translates an error of an attempt for the core. */
export function attemptFailure(error: unknown, answer: AttemptAnswer): Failure {
	const base = {passedOn: answer.passedOn, tokens: answer.tokens};
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

	const code = (error as {code?: string}).code ?? '';
	if (connectCodes.has(code)) {
		return {...base, reason: 'connect', notSent: true};
	}

	return {...base, reason: silenceCodes.has(code) ? 'silence' : 'reset', notSent: false};
}
