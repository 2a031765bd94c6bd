import type {ServerHttp2Session, ServerHttp2Stream} from 'node:http2';

/** Time that a session has to open a link, in milliseconds. */
const linkTimeoutMs = 5000;

type UnlinkedSessionsOptions = {
	/** Sessions without a link that may be open. */
	readonly maxCount: number;
	/** Called with each session that is closed. */
	readonly onClosed: () => void;
};

/** Closes sessions of peers on which there is no link: one that has opened none in time, and the oldest if there are too many. */
export class UnlinkedSessions {
	readonly #options: UnlinkedSessionsOptions;
	/** With the timer that closes each, in the order in which they came. */
	readonly #timers = new Map<ServerHttp2Session, NodeJS.Timeout>();

	constructor(options: UnlinkedSessionsOptions) {
		this.#options = options;
	}

	/** Watches a session that was just accepted. */
	add(session: ServerHttp2Session): void {
		let streams = 0;
		this.#wait(session);
		session.on('stream', (stream: ServerHttp2Stream) => {
			streams += 1;
			this.#end(session);
			stream.once('close', () => {
				streams -= 1;
				if (streams === 0 && !session.destroyed) {
					this.#wait(session);
				}
			});
		});
		session.once('close', () => {
			this.#end(session);
		});
	}

	#wait(session: ServerHttp2Session): void {
		this.#timers.set(session, setTimeout(() => {
			this.#close(session);
		}, linkTimeoutMs));
		const [oldest] = this.#timers.keys();
		if (this.#timers.size > this.#options.maxCount) {
			this.#close(oldest!);
		}
	}

	#close(session: ServerHttp2Session): void {
		this.#options.onClosed();
		this.#end(session);
		session.destroy();
	}

	#end(session: ServerHttp2Session): void {
		clearTimeout(this.#timers.get(session));
		this.#timers.delete(session);
	}
}
