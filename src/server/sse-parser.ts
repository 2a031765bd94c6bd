const endMarker = '[DONE]';

/** One event of a stream of server-sent events, as far as the gateway looks into it. */
type SseEvent =
	| {readonly type: 'end'}
	| {readonly type: 'token'; readonly text: string; readonly data: string}
	| {readonly type: 'error'; readonly error: unknown}
	| {readonly type: 'other'; readonly data?: string};

/**
 * Splits an answer stream of an engine into events across chunk borders.
 * Only whole events are handed on, so that a broken stream never shows half an event to a caller.
 */
export class SseParser {
	#incomplete = '';

	/** Takes the next piece of text; returns the whole events in it, each with its raw text. */
	push(text: string): Array<{raw: string; event: SseEvent}> {
		const events: Array<{raw: string; event: SseEvent}> = [];
		const pending = this.#incomplete + text;
		let start = 0;
		for (;;) {
			const end = pending.indexOf('\n\n', start);
			if (end === -1) {
				break;
			}

			const raw = pending.slice(start, end + 2);
			events.push({raw, event: this.#parseEvent(raw)});
			start = end + 2;
		}

		this.#incomplete = pending.slice(start);
		return events;
	}

	#parseEvent(raw: string): SseEvent {
		if (!raw.startsWith('data:')) {
			return {type: 'other'};
		}

		const data = raw.slice(5).trim();
		if (data === endMarker) {
			return {type: 'end'};
		}

		try {
			const chunk = JSON.parse(data) as {choices?: Array<{delta?: {content?: string}}>; error?: unknown};
			if (chunk.error !== undefined) {
				return {type: 'error', error: chunk.error};
			}

			const content = chunk.choices?.[0]?.delta?.content;
			return typeof content === 'string' && content !== '' ? {type: 'token', text: content, data} : {type: 'other', data};
		} catch {
			return {type: 'other'};
		}
	}
}
