import {Buffer} from 'node:buffer';
import type {Action} from '../core/actions.ts';
import {attemptHeader} from './attempt-header.ts';
import type {CallerRequest} from './caller-request.ts';
import type {PeerToken} from './peer-token.ts';

type StartAttempt = Extract<Action, {type: 'start-attempt'}>;

/** Caller's headers that go to targets and to other entries. */
const copiedHeaders = ['content-type', 'accept', 'idempotency-key', 'lovageferry-organisation', 'lovageferry-priority'];
/** Caller's headers that go only to other entries. */
const entryOnlyHeaders = ['authorization', 'lovageferry-service', 'lovageferry-deployment', 'lovageferry-route'];

/**
 * Builds the HTTP request of an attempt. A target gets the caller's method, path and body and a few headers;
 * another entry also gets the caller's key and a signed header with the forwarding node, its region, its settings revision,
 * whether it holds the request's claim, and the request's fingerprint.
 */
export function buildAttemptRequest(
	action: StartAttempt,
	request: CallerRequest,
	options: {readonly self: {readonly nodeId: string; readonly region: string}; readonly token: PeerToken},
): {path: string; headers: Record<string, string>; body: Uint8Array} {
	const headers: Record<string, string> = {[attemptHeader]: action.attemptId};
	copyHeaders(request, copiedHeaders, headers);
	if (action.forwardTo) {
		copyHeaders(request, entryOnlyHeaders, headers);
		const {fingerprint} = request.info;
		const signedFields = [options.self.nodeId, options.self.region, action.revision, action.claimed ? 'claimed' : 'free', fingerprint].join(';');
		headers['lovageferry-forwarded-by'] = signedFields;
		headers['lovageferry-forward-token'] = options.token.sign(signedFields);
		headers['lovageferry-deadline-ms'] = String(Math.max(1, Math.round(action.deadlineMs)));
	}

	const path = action.forwardTo && request.info.kind === 'call'
		? `/s/${request.info.path.service}${request.targetPath}`
		: request.targetPath;
	return {path, headers, body: buildBody(action, request)};
}

function copyHeaders(request: CallerRequest, names: readonly string[], headers: Record<string, string>): void {
	for (const name of names) {
		const value = request.headers[name];
		if (typeof value === 'string') {
			headers[name] = value;
		}
	}
}

/** Engines are always asked for a stream: the gaps between events tell an engine that hangs from one that is slow. */
function buildBody(action: StartAttempt, request: CallerRequest): Uint8Array {
	if (action.resume) {
		return buildResumeBody(request);
	}

	return request.info.kind === 'completion' && !request.info.streamed
		? Buffer.from(JSON.stringify({...JSON.parse(request.body.toString('utf8')) as Record<string, unknown>, stream: true}))
		: request.body;
}

/** Asks an engine to continue from the text that earlier attempts produced. */
function buildResumeBody(request: CallerRequest): Uint8Array {
	const body = JSON.parse(request.body.toString('utf8')) as {messages: unknown[]; max_tokens?: number};
	return Buffer.from(JSON.stringify({
		...body,
		stream: true,
		messages: [...body.messages, {role: 'assistant', content: request.answerText}],
		continue_final_message: true,
		add_generation_prompt: false,
		...(body.max_tokens === undefined ? {} : {max_tokens: Math.max(1, body.max_tokens - request.answerTokens)}),
	}));
}
