const endMarker = '[DONE]';

/** The parts of a server-sent event that the gateway interprets. */
type SseEvent =
	| {readonly type: 'end'}
	| {readonly type: 'token'; readonly text: string; readonly data: string}
	| {readonly type: 'error'; readonly error: unknown}
	| {readonly type: 'other'; readonly data?: string};

/**
 * Parses an engine's response into server-sent events; an event may span several chunks.
 * Returns complete events only, so that a caller never gets part of an event from a truncated stream.
 */
export class SseParser {
	#incomplete = '';

	/** Length of the last event if it has no end, in characters. */
	get incompleteLength(): number {
		return this.#incomplete.length;
	}

	/** Adds the next chunk of text; returns the events that it completes, each with its raw text. */
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
