import {createClient, type Client} from '@connectrpc/connect';
import {compressionGzip, createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {PeerService} from '../gen/peer_pb.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import type {PeerMessage} from '../core/peer-message.ts';
import {constants} from '../settings/constants.ts';
import {LinkMonitor} from './link-monitor.ts';
import type {PeerToken} from './peer-token.ts';

type PeerLinkOptions = {
	readonly self: Pick<NodeInfo, 'nodeId' | 'incarnation'>;
	readonly peer: {readonly nodeId: string; readonly address: string};
	readonly token: PeerToken;
	readonly log: (text: string) => void;
	/** Called for each frame that is sent, with its number of messages and their length in characters before compression. */
	readonly onSent: (messages: number, bytes: number) => void;
};

/**
 * Keeps a stream of messages open to a peer and reopens it when it ends. Messages are queued while the peer cannot be reached;
 * the oldest are dropped beyond `constants.maxPeerQueue`.
 */
export class PeerLink {
	readonly #options: PeerLinkOptions;
	#queue: string[] = [];
	#wakeSender: (() => void) | undefined;
	readonly #monitor = new LinkMonitor();
	#closed = false;
	#sessionManager: Http2SessionManager | undefined;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		void this.#run();
	}

	get address(): string {
		return this.#options.peer.address;
	}

	send(message: PeerMessage): void {
		this.#queue.push(JSON.stringify(message));
		if (this.#queue.length > constants.maxPeerQueue) {
			this.#queue.splice(0, this.#queue.length - constants.maxPeerQueue);
		}

		this.#wakeSender?.();
	}

	close(): void {
		this.#closed = true;
		this.#wakeSender?.();
		this.#sessionManager?.abort();
	}

	async #run(): Promise<void> {
		while (!this.#closed) {
			// Sequential on purpose: the next connection is opened after this one has ended.
			/* eslint-disable no-await-in-loop */
			try {
				await this.#connect();
			} catch (error) {
				this.#options.log(`link to ${this.#options.peer.nodeId} ended: ${(error as Error).message}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, constants.peerReconnectMs);
			});
			/* eslint-enable no-await-in-loop */
		}
	}

	async #connect(): Promise<void> {
		const baseUrl = `http://${this.#options.peer.address}`;
		// Pings of the session manager stay off: a ping that times out emits an error without a listener, which ends the process.
		this.#sessionManager = new Http2SessionManager(baseUrl);
		const client: Client<typeof PeerService> = createClient(PeerService, createConnectTransport({
			httpVersion: '2', baseUrl, sessionManager: this.#sessionManager, sendCompression: compressionGzip, compressMinBytes: constants.peerCompressBytes,
		}));
		const {nodeId, incarnation} = this.#options.self;
		const identity = `${nodeId};${incarnation};${this.#options.peer.nodeId}`;
		const headers = {'lovageferry-peer': identity, 'lovageferry-peer-token': this.#options.token.sign(identity)};
		this.#monitor.recordOpen();
		const watchdog = setInterval(() => {
			if (this.#monitor.isTimedOut()) {
				this.#sessionManager?.abort();
			}
		}, constants.peerHeartbeatMs);
		try {
			for await (const _ of client.link(this.#frames(), {headers})) {
				this.#monitor.recordHeartbeat();
			}
		} finally {
			clearInterval(watchdog);
			this.#sessionManager.abort();
		}
	}

	async * #frames() {
		for (;;) {
			while (this.#queue.length === 0 && !this.#closed) {
				await this.#waitForMessage(); // eslint-disable-line no-await-in-loop
			}

			if (this.#closed) {
				return;
			}

			this.#monitor.recordSent();
			const messages = this.#queue;
			this.#queue = [];
			this.#options.onSent(messages.length, messages.reduce((sum, text) => sum + text.length, 0));
			yield {messages};
		}
	}

	async #waitForMessage(): Promise<void> {
		return new Promise(resolve => {
			this.#wakeSender = () => {
				this.#wakeSender = undefined;
				resolve();
			};
		});
	}
}
