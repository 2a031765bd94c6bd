import {createClient, type Client} from '@connectrpc/connect';
import {compressionGzip, createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {PeerService} from '../gen/peer_pb.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import type {PeerMessage} from '../core/peer-message.ts';
import {constants} from '../settings/constants.ts';
import {LinkMonitor} from './link-monitor.ts';
import {MessageBatches} from './message-batches.ts';
import {peerHeaders} from './peer-headers.ts';
import {replyIdentity} from './reply-identity.ts';
import type {PeerQueueBudget} from './peer-queue-budget.ts';
import type {PeerToken} from './peer-token.ts';

type PeerLinkOptions = {
	readonly self: Pick<NodeInfo, 'nodeId' | 'incarnation'>;
	readonly peer: {readonly nodeId: string; readonly address: string};
	readonly token: PeerToken;
	/** Bounds the queues of all peers together. */
	readonly budget: PeerQueueBudget;
	readonly log: (text: string) => void;
	/** Called for each message that is dropped, since too much waits. */
	readonly onDropped: () => void;
	/** Called for each frame that is sent, with its number of messages and their length in characters before compression. */
	readonly onSent: (messages: number, bytes: number) => void;
	/** Takes messages that the peer sends back on the same stream; undefined if it has to open a stream of its own for them. */
	readonly onReply?: (message: PeerMessage, length: number) => void;
};

/** Keeps a stream of messages open to a peer and reopens it when it ends. Messages are queued while the peer cannot be reached. */
export class PeerLink {
	readonly #options: PeerLinkOptions;
	readonly #queue: MessageBatches;
	readonly #monitor = new LinkMonitor();
	#closed = false;
	#sessionManager: Http2SessionManager | undefined;

	constructor(options: PeerLinkOptions) {
		this.#options = options;
		this.#queue = new MessageBatches(options);
		void this.#run();
	}

	get address(): string {
		return this.#options.peer.address;
	}

	send(message: PeerMessage): void {
		this.#queue.push(message);
	}

	close(): void {
		this.#closed = true;
		this.#queue.close();
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
		const {self: {nodeId, incarnation}, peer, token, onReply} = this.#options;
		const identity = `${nodeId};${incarnation};${peer.nodeId}`;
		const headers = {
			[peerHeaders.identity]: identity,
			[peerHeaders.token]: token.sign(identity),
			...(onReply && {[peerHeaders.takesReplies]: peerHeaders.repliesVersion}),
		};
		let isVerified = false;
		this.#monitor.recordOpen();
		const watchdog = setInterval(() => {
			if (this.#monitor.isTimedOut()) {
				this.#sessionManager?.abort();
			}
		}, constants.peerHeartbeatMs);
		try {
			const pulses = client.link(this.#frames(), {
				headers,
				onHeader(header) {
					isVerified = token.verify(replyIdentity(identity), header.get(peerHeaders.token) ?? '');
				},
			});
			for await (const {messages} of pulses) {
				this.#monitor.recordHeartbeat();
				if (messages.length > 0 && !isVerified) {
					throw new Error('it sent messages without proof of the peer key');
				}

				for (const text of messages) {
					onReply?.(JSON.parse(text) as PeerMessage, text.length);
				}
			}
		} finally {
			clearInterval(watchdog);
			this.#sessionManager.abort();
		}
	}

	async * #frames() {
		for await (const messages of this.#queue) {
			this.#monitor.recordSent();
			this.#options.onSent(messages.length, messages.reduce((sum, text) => sum + text.length, 0));
			yield {messages};
		}
	}
}
