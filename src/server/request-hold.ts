import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ProcessMemory} from './process-memory.ts';

/** Memory of a request beside its head and body: its connection, its response, and its record, in bytes. */
const requestBytes = 8192;
/** Memory of a header line beside its characters: its strings, in the lists and the dictionary of the headers, and in those that are copied, in bytes. */
const lineBytes = 160;
/** Memory of an item that is read from a header, such as a part of a prompt, in bytes. */
const itemBytes = 112;

const holds = new WeakMap<ServerResponse, RequestHold>();

/** What a request holds of the bound that all requests share, from the end of its head until its response is closed. */
export class RequestHold {
	/** The hold of a request, by its response; undefined if its server counts none. */
	static of(res: ServerResponse): RequestHold | undefined {
		return holds.get(res);
	}

	readonly #memory: ProcessMemory;
	readonly #req: IncomingMessage;
	readonly #res: ServerResponse;
	#giveUp: (() => void) | undefined;

	constructor(memory: ProcessMemory, req: IncomingMessage, res: ServerResponse) {
		this.#memory = memory;
		this.#req = req;
		this.#res = res;
	}

	/** Starts to count the request; false if it has to be refused, since there is no memory for it. One without a body begins at once. */
	start(): boolean {
		const {requests} = this.#memory;
		let isRefused = false;

		this.#giveUp = () => {
			isRefused = true;
		};

		this.#refuse(requests.add(this, {address: this.#req.socket.remoteAddress ?? '', bytes: headBytes(this.#req)}));
		this.#giveUp = undefined;
		if (isRefused) {
			return false;
		}

		holds.set(this.#res, this);
		this.#res.once('close', () => {
			requests.delete(this);
		});
		const hasBody = this.#req.headers['content-length'] !== undefined || this.#req.headers['transfer-encoding'] !== undefined;
		return hasBody || this.begin();
	}

	/** Sets what is called if the request has to be refused while its body is received. */
	onGivenUp(giveUp: () => void): void {
		this.#giveUp = giveUp;
	}

	/** Lets the request begin; false if it has to be refused. `items` were read from its head; `isCounted` is true if it may need a connection to a target. */
	begin({items = 0, isCounted = false}: {items?: number; isCounted?: boolean} = {}): boolean {
		const {isAdmitted, evicted} = this.#memory.requests.begin(this, {bytes: items * itemBytes, isCounted});
		this.#refuse(evicted);
		if (!isAdmitted) {
			this.#memory.turnedAway(isCounted ? 'too-many-requests' : 'large-request');
		}

		return isAdmitted;
	}

	#refuse(evicted: readonly RequestHold[]): void {
		for (const hold of evicted) {
			this.#memory.turnedAway('large-request');
			hold.#giveUp?.();
		}
	}
}

/** Memory that a request takes with its head, in bytes. */
function headBytes({url = '', rawHeaders}: IncomingMessage): number {
	return rawHeaders.reduce((sum, part) => sum + part.length, requestBytes + url.length + (rawHeaders.length / 2 * lineBytes));
}
