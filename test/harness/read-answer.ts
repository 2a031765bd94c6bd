import type {Answer} from './answer.ts';

type Problem = {readonly result?: string; readonly ran?: 'no' | 'maybe'; readonly retryAfterMs?: number; readonly detail?: string};
type Chunk = {choices?: Array<{delta?: {content?: string}; message?: {content?: string}}>; error?: Problem};

/** Judges a caller's answer by what its request must get: the text of a completion, or the digest of a call. */
export function readAnswer(response: {readonly status: number; readonly contentType: string; readonly body: string}, wanted: string): Answer {
	const {status, contentType, body} = response;
	if (status >= 400) {
		return parseRefusal(body);
	}

	if (contentType.startsWith('text/event-stream')) {
		return readStream(body, wanted);
	}

	const json = JSON.parse(body) as Chunk & {digest?: string};
	const text = json.choices?.[0]?.message?.content ?? json.digest ?? '';
	return text === wanted ? {outcome: 'whole'} : {outcome: 'wrong', detail: `got "${text.slice(0, 60)}", wanted "${wanted.slice(0, 60)}"`};
}

function readStream(body: string, wanted: string): Answer {
	let text = '';
	for (const event of body.split('\n\n').filter(Boolean)) {
		const data = event.slice('data: '.length);
		if (data === '[DONE]') {
			return text === wanted ? {outcome: 'whole'} : {outcome: 'wrong', detail: `${text.length} of ${wanted.length} characters, or others`};
		}

		const chunk = JSON.parse(data) as Chunk;
		if (chunk.error) {
			return refused(chunk.error);
		}

		text += chunk.choices?.[0]?.delta?.content ?? '';
	}

	return {outcome: 'broken', detail: 'the stream ended without its end marker'};
}

function parseRefusal(body: string): Answer {
	try {
		return refused(JSON.parse(body) as Problem);
	} catch {
		return {outcome: 'wrong', detail: `a refusal that cannot be read: ${body.slice(0, 60)}`};
	}
}

function refused({result, ran, retryAfterMs, detail}: Problem): Answer {
	return {
		outcome: 'refused', result, ran, retryAfterMs, detail,
	};
}
