import type {CallOutcome} from './call-outcome.ts';

type Problem = {readonly result?: string; readonly ran?: 'no' | 'maybe'; readonly retryAfterMs?: number; readonly detail?: string};
type Chunk = {choices?: Array<{delta?: {content?: string}; message?: {content?: string}}>; error?: Problem};

/** Classifies the answer to a caller by the expected content: the text of a completion, or the digest of a call. Throws if JSON in a success answer cannot be parsed. */
export function checkResponse(response: {readonly status: number; readonly contentType: string; readonly body: string}, expected: string): CallOutcome {
	const {status, contentType, body} = response;
	if (status >= 400) {
		return parseRefusal(body);
	}

	if (contentType.startsWith('text/event-stream')) {
		return readStream(body, expected);
	}

	const json = JSON.parse(body) as Chunk & {digest?: string};
	const text = json.choices?.[0]?.message?.content ?? json.digest ?? '';
	return text === expected ? {outcome: 'whole'} : {outcome: 'wrong', detail: `got "${text.slice(0, 60)}", expected "${expected.slice(0, 60)}"`};
}

function readStream(body: string, expected: string): CallOutcome {
	let text = '';
	for (const event of body.split('\n\n').filter(Boolean)) {
		const data = event.slice('data: '.length);
		if (data === '[DONE]') {
			return text === expected ? {outcome: 'whole'} : {outcome: 'wrong', detail: `got ${text.length} characters that differ from the expected ${expected.length}`};
		}

		const chunk = JSON.parse(data) as Chunk;
		if (chunk.error) {
			return refusalOutcome(chunk.error);
		}

		text += chunk.choices?.[0]?.delta?.content ?? '';
	}

	return {outcome: 'broken', detail: 'the stream ended without its end marker'};
}

function parseRefusal(body: string): CallOutcome {
	try {
		return refusalOutcome(JSON.parse(body) as Problem);
	} catch {
		return {outcome: 'wrong', detail: `a refusal that could not be parsed: ${body.slice(0, 60)}`};
	}
}

function refusalOutcome({result, ran, retryAfterMs, detail}: Problem): CallOutcome {
	return {
		outcome: 'refused', result, ran, retryAfterMs, detail,
	};
}
