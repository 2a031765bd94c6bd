import type {CompletionRequest} from './completion-request.ts';

/** Returns the text of the prompt without the partial answer of a resumed request, so that the first attempt and a resume have the same digest. */
export function extractPrompt(body: CompletionRequest): string {
	const messages = body.continue_final_message ? body.messages.slice(0, -1) : body.messages;
	return messages.map(message => `${message.role}\n${message.content}\n`).join('');
}
