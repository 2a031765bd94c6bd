import type {CompletionRequest} from './completion-request.ts';

/** The prompt's text without the text of a resumed answer: the same for the first attempt and a resume. */
export function extractPrompt(body: CompletionRequest): string {
	const messages = body.continue_final_message ? body.messages.slice(0, -1) : body.messages;
	return messages.map(message => `${message.role}\n${message.content}\n`).join('');
}
