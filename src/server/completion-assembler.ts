type ToolCall = {index: number; id?: string; type?: string; function: {name: string; arguments: string}};

type Choice = {
	index: number;
	role: string;
	content: string | null;
	toolCalls: ToolCall[];
	finishReason: string | null;
};

type Chunk = {
	readonly id?: string;
	readonly created?: number;
	readonly model?: string;
	readonly usage?: unknown;
	readonly choices?: ReadonlyArray<{
		readonly index?: number;
		readonly delta?: {
			readonly role?: string;
			readonly content?: string | null;
			readonly tool_calls?: ReadonlyArray<{index: number; id?: string; type?: string; function?: {name?: string; arguments?: string}}>;
		};
		readonly finish_reason?: string | null;
	}>;
};

/**
 * Assembles a chat completion object from the server-sent events of all attempts that contributed to it.
 * Needed because engines are asked for a stream even if the caller is not: without events, an engine that hangs
 * cannot be told from one that is working.
 */
export class CompletionAssembler {
	#metadata: {id?: string; created?: number; model?: string} = {};
	#usage: unknown;
	readonly #choices = new Map<number, Choice>();

	/** Adds the JSON data of one event. */
	add(data: string): void {
		const chunk = JSON.parse(data) as Chunk;
		this.#metadata = {
			id: this.#metadata.id ?? chunk.id,
			created: this.#metadata.created ?? chunk.created,
			model: this.#metadata.model ?? chunk.model,
		};
		this.#usage = chunk.usage ?? this.#usage;
		for (const choice of chunk.choices ?? []) {
			this.#addChoice(choice);
		}
	}

	/** The assembled completion as JSON. */
	toJson(): string {
		const choices = [...this.#choices.values()].toSorted((left, right) => left.index - right.index);
		return JSON.stringify({
			...this.#metadata,
			object: 'chat.completion',
			choices: choices.map(choice => ({
				index: choice.index,
				message: {
					role: choice.role,
					content: choice.content,
					...(choice.toolCalls.length > 0 && {tool_calls: choice.toolCalls}),
				},
				finish_reason: choice.finishReason,
			})),
			...(this.#usage !== undefined && {usage: this.#usage}),
		});
	}

	#addChoice({index = 0, delta = {}, finish_reason: finishReason}: NonNullable<Chunk['choices']>[number]): void {
		let choice = this.#choices.get(index);
		if (!choice) {
			choice = {
				index, role: 'assistant', content: null, toolCalls: [], finishReason: null,
			};
			this.#choices.set(index, choice);
		}

		choice.role = delta.role ?? choice.role;
		choice.finishReason = finishReason ?? choice.finishReason;
		if (typeof delta.content === 'string') {
			choice.content = (choice.content ?? '') + delta.content;
		}

		for (const call of delta.tool_calls ?? []) {
			addToolCall(choice.toolCalls, call);
		}
	}
}

function addToolCall(calls: ToolCall[], {index, id, type, function: functionDelta}: {index: number; id?: string; type?: string; function?: {name?: string; arguments?: string}}): void {
	let call = calls.find(known => known.index === index);
	if (!call) {
		call = {index, function: {name: '', arguments: ''}};
		calls.push(call);
	}

	call.id ??= id;
	call.type ??= type;
	call.function.name += functionDelta?.name ?? '';
	call.function.arguments += functionDelta?.arguments ?? '';
}
