import type {IncomingMessage, ServerResponse} from 'node:http';
import {abortResponse} from './abort-response.ts';
import {MemoryHold} from './memory-hold.ts';
import type {ProcessMemory} from './process-memory.ts';

/** Memory that a request in progress takes beside its head and body: its connection, its response, and its record, in bytes. */
const requestBytes = 8192;
/** Memory of a header line beside its characters: its strings, in the lists and the dictionary of the headers, and in those that are copied, in bytes. */
const lineBytes = 160;
/** Memory of an item that is read from a header, such as a part of a prompt, in bytes. */
const itemBytes = 112;

/** What a request in progress holds of the bound that all requests share, from the end of its head until its response is closed. */
export class RequestHold {
	readonly #res: ServerResponse;
	readonly #hold: MemoryHold;
	#giveUp: (() => void) | undefined;
	#bytes: number;

	constructor({requests, turnedAway}: ProcessMemory, req: IncomingMessage, res: ServerResponse) {
		this.#res = res;
		this.#bytes = headBytes(req);
		this.#hold = new MemoryHold(requests, () => {
			turnedAway('large-request');
			this.#end();
		});
		res.once('close', () => {
			this.#hold.close();
		});
	}

	/**
	 * Starts to count the request, which has not been handled; false if it was refused, since it is the largest and all together are too large.
	 *
	 * @param refuse - Refuses it as not run. @default with status 503
	 */
	start(refuse: () => void = () => {
		this.#refuse();
	}): boolean {
		this.#giveUp = refuse;
		this.#hold.set(this.#bytes);
		this.#giveUp = undefined;
		return !this.#res.headersSent;
	}

	/** Sets what is called once if the request has to be given up. By default its connection is reset: what it has done is unknown. */
	onGivenUp(giveUp: () => void): void {
		this.#giveUp = giveUp;
	}

	/** Counts items that were read from the head. */
	addItems(count: number): void {
		this.#bytes += count * itemBytes;
		this.#hold.set(this.#bytes);
	}

	#refuse(): void {
		this.#res.writeHead(503, {connection: 'close', 'content-type': 'application/problem+json', 'retry-after': '1'})
			.end(JSON.stringify({title: 'the requests in progress take too much memory', ran: 'no'}));
	}

	#end(): void {
		if (this.#giveUp === undefined) {
			abortResponse(this.#res);
		} else {
			this.#giveUp();
		}
	}
}

/** Memory that a request takes with its head, in bytes. */
function headBytes({url = '', rawHeaders}: IncomingMessage): number {
	return rawHeaders.reduce((sum, part) => sum + part.length, requestBytes + url.length + (rawHeaders.length / 2 * lineBytes));
}
