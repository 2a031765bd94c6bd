import type {Buffer} from 'node:buffer';
import {z} from 'zod';
import {parseJsonText} from './parse-json-text.ts';
import {RequestError} from './request-error.ts';

const maxMessages = 10_000;

const schema = z.looseObject({
	model: z.string().max(200).optional(),
	stream: z.boolean().optional(),
	max_tokens: z.number().int().positive().optional(),
	max_completion_tokens: z.number().int().positive().optional(),
	messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).min(1).max(maxMessages),
});

/** The fields of a chat completion request that the gateway uses. */
type ChatBody = {
	readonly model?: string;
	readonly streamed: boolean;
	readonly maxTokens?: number;
	/** Roles and contents of all messages, joined; used to estimate tokens and to hash prefixes. */
	readonly prompt: string;
	/** Role and content of each message. */
	readonly messages: readonly string[];
};

/** @throws RequestError if the body is not a valid chat completion request. */
export function parseChatBody(body: Buffer): ChatBody {
	let json: unknown;
	try {
		json = parseJsonText(body.toString('utf8'));
	} catch {
		throw new RequestError({result: 'malformed', ran: 'no', detail: 'The body is not JSON, or has too many values.'});
	}

	const result = schema.safeParse(json);
	if (!result.success) {
		const issue = result.error.issues[0]!;
		throw new RequestError({result: 'malformed', ran: 'no', detail: `The body's ${issue.path.join('.') || 'value'} is not valid: ${issue.message}.`});
	}

	const {data} = result;
	const messages = data.messages.map(message => `${message.role}\n${contentText(message.content)}\n`);
	return {
		model: data.model,
		streamed: data.stream ?? false,
		maxTokens: data.max_completion_tokens ?? data.max_tokens,
		prompt: messages.join(''),
		messages,
	};
}

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
