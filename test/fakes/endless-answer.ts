import type {Socket} from 'node:net';
import {writeEndlessly} from './write-endlessly.ts';

type Options = {
	/** What is sent before the filler; `fields` end with a line break each. */
	readonly start: (statusLine: string, fields: string) => string;
	readonly filler: string;
};

/** An answer with a part that has no end. */
export class EndlessAnswer {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Writes the answer until its connection is closed; resolves with the number of bytes of the filler. */
	async write(socket: Socket, fields: string): Promise<number> {
		const {start, filler} = this.#options;
		socket.write(start('HTTP/1.1 200 OK', fields));
		return writeEndlessly(socket, filler);
	}
}
