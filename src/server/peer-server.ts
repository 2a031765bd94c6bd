import {performance} from 'node:perf_hooks';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {
	Code, ConnectError, type ConnectRouter, type HandlerContext,
} from '@connectrpc/connect';
import {compressionGzip, connectNodeAdapter} from '@connectrpc/connect-node';
import type {NodeId} from '../core/ids/node-id.ts';
import {toId} from '../core/ids/to-id.ts';
import type {PeerMessage} from '../core/peer-message.ts';
import {PeerService, type Frame} from '../gen/peer_pb.ts';
import {constants} from '../settings/constants.ts';
import {ListenError} from './listen-error.ts';
import {log} from './log.ts';
import {MessageBatches} from './message-batches.ts';
import type {Metrics} from './metrics.ts';
import {peerHeaders} from './peer-headers.ts';
import type {PeerQueueBudget} from './peer-queue-budget.ts';
import type {PeerToken} from './peer-token.ts';
import {replyIdentity} from './reply-identity.ts';
import {UnlinkedSessions} from './unlinked-sessions.ts';

const maxFrameBytes = 67_108_864;

type PeerServerOptions = {
	readonly self: {readonly nodeId: NodeId};
	readonly listen: {readonly host: string; readonly port: number};
	readonly token: PeerToken;
	readonly metrics: Metrics;
	/** Bounds the queues of all peers of the process together. */
	readonly budget: PeerQueueBudget;
	/** Connections without a link that may be open. @default constants.maxUnlinkedSessions */
	readonly maxUnlinked?: number;
	readonly onMessage: (from: NodeId, message: PeerMessage) => void;
};

/** Accepts links from other processes that hold the peer key, and answers their frames with heartbeats. */
export class PeerServer {
	readonly #options: PeerServerOptions;
	readonly #server: Http2Server;
	readonly #sessions = new Set<ServerHttp2Session>();
	readonly #unlinked: UnlinkedSessions;
	/** Messages for peers that take them on the links that they have opened. */
	readonly #replies = new Map<NodeId, MessageBatches>();
	readonly #log = log('peers');

	constructor(options: PeerServerOptions) {
		this.#options = options;
		this.#unlinked = new UnlinkedSessions({
			maxCount: options.maxUnlinked ?? constants.maxUnlinkedSessions,
			onClosed() {
				options.metrics.count('refusals', 'peer-unlinked');
			},
		});
		const routes = (router: ConnectRouter) => {
			router.service(PeerService, {link: (frames, context) => this.#link(frames, context)});
		};

		this.#server = createServer(connectNodeAdapter({
			routes, readMaxBytes: maxFrameBytes, acceptCompression: [compressionGzip], compressMinBytes: constants.peerCompressBytes,
		}));
		this.#server.on('session', session => {
			this.#sessions.add(session);
			this.#unlinked.add(session);
			session.on('close', () => this.#sessions.delete(session));
			session.on('error', () => undefined);
		});
	}

	async open(): Promise<void> {
		const {host, port} = this.#options.listen;
		return new Promise((resolve, reject) => {
			this.#server.once('error', (cause: Error) => {
				reject(new ListenError({
					key: 'listen.peers', host, port, cause,
				}));
			});
			this.#server.listen(port, host, resolve);
		});
	}

	async close(): Promise<void> {
		for (const session of this.#sessions) {
			session.destroy();
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Sends a message on the link that a peer has opened; false if there is none, or the peer takes no messages there. */
	reply(to: NodeId, message: PeerMessage): boolean {
		const pulses = this.#replies.get(to);
		pulses?.push(message);
		return pulses !== undefined;
	}

	async * #link(frames: AsyncIterable<Frame>, context: HandlerContext) {
		const {from, identity} = this.#authenticate(context);
		const {budget, metrics} = this.#options;
		const pulses = new MessageBatches({
			budget,
			onDropped() {
				metrics.count('peer_messages', 'dropped');
			},
		});
		if (context.requestHeader.get(peerHeaders.takesReplies) === peerHeaders.repliesVersion) {
			context.responseHeader.set(peerHeaders.token, this.#options.token.sign(replyIdentity(identity)));
			// A peer that opens another link has given up the one before.
			this.#replies.get(from)?.close();
			this.#replies.set(from, pulses);
		}

		let failure: unknown;
		const reading = this.#read(frames, from, pulses)
			.catch((error: unknown) => { // eslint-disable-line promise/prefer-await-to-then -- handled at once, whether or not pulses are being read
				failure = error;
			})
			.finally(() => { // eslint-disable-line promise/prefer-await-to-then
				pulses.close();
			});
		try {
			for await (const messages of pulses) {
				this.#countMessages('sent', messages);
				yield {messages};
			}

			await reading;
		} finally {
			pulses.close();
			if (this.#replies.get(from) === pulses) {
				this.#replies.delete(from);
			}
		}

		if (failure !== undefined) {
			throw failure; // eslint-disable-line @typescript-eslint/only-throw-error
		}
	}

	/** Handles the frames of a link, and makes the pulses' reader send a heartbeat when one is due. */
	async #read(frames: AsyncIterable<Frame>, from: NodeId, pulses: MessageBatches): Promise<void> {
		let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
		for await (const frame of frames) {
			this.#countMessages('received', frame.messages);
			for (const text of frame.messages) {
				this.#options.onMessage(from, JSON.parse(text) as PeerMessage);
			}

			const now = performance.now();
			if (now - lastHeartbeatAt >= constants.peerHeartbeatMs) {
				lastHeartbeatAt = now;
				pulses.flush();
			}
		}
	}

	#countMessages(direction: 'sent' | 'received', messages: readonly string[]): void {
		if (messages.length > 0) {
			this.#options.metrics.count('peer_messages', direction, messages.length);
			this.#options.metrics.count('peer_bytes', direction, messages.reduce((sum, text) => sum + text.length, 0));
		}
	}

	#authenticate(context: HandlerContext): {from: NodeId; identity: string} {
		const identity = context.requestHeader.get(peerHeaders.identity) ?? '';
		const token = context.requestHeader.get(peerHeaders.token) ?? '';
		const [from = '', , to = ''] = identity.split(';');
		if (from === '' || to !== this.#options.self.nodeId || !this.#options.token.verify(identity, token)) {
			this.#log(`refused a link that claims to come from "${from}"`);
			this.#options.metrics.count('refusals', 'peer-unauthenticated');
			throw new ConnectError('the peer key does not match', Code.Unauthenticated);
		}

		return {from: toId(from), identity};
	}
}
