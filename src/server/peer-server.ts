import {performance} from 'node:perf_hooks';
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {
	Code, ConnectError, type ConnectRouter, type HandlerContext,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {NodeId} from '../core/ids/node-id.ts';
import {toId} from '../core/ids/to-id.ts';
import type {PeerMessage} from '../core/peer-message.ts';
import {PeerService, type Frame} from '../gen/peer_pb.ts';
import {constants} from '../settings/constants.ts';
import {ListenError} from './listen-error.ts';
import {log} from './log.ts';
import type {Metrics} from './metrics.ts';
import type {PeerToken} from './peer-token.ts';

const maxFrameBytes = 67_108_864;

type PeerServerOptions = {
	readonly self: {readonly nodeId: NodeId};
	readonly listen: {readonly host: string; readonly port: number};
	readonly token: PeerToken;
	readonly metrics: Metrics;
	readonly onMessage: (from: NodeId, message: PeerMessage) => void;
};

/** Accepts links from other processes that hold the peer key, and answers their frames with heartbeats. */
export class PeerServer {
	readonly #options: PeerServerOptions;
	readonly #server: Http2Server;
	readonly #sessions = new Set<ServerHttp2Session>();
	readonly #log = log('peers');

	constructor(options: PeerServerOptions) {
		this.#options = options;
		const routes = (router: ConnectRouter) => {
			router.service(PeerService, {link: (frames, context) => this.#link(frames, context)});
		};

		this.#server = createServer(connectNodeAdapter({routes, readMaxBytes: maxFrameBytes}));
		this.#server.on('session', session => {
			this.#sessions.add(session);
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

	async * #link(frames: AsyncIterable<Frame>, context: HandlerContext) {
		const from = this.#authenticate(context);
		let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
		for await (const frame of frames) {
			this.#options.metrics.count('peer_messages', 'received', frame.messages.length);
			for (const text of frame.messages) {
				this.#options.metrics.count('peer_bytes', 'received', text.length);
				this.#options.onMessage(from, JSON.parse(text) as PeerMessage);
			}

			const now = performance.now();
			if (now - lastHeartbeatAt >= constants.peerHeartbeatMs) {
				lastHeartbeatAt = now;
				yield {};
			}
		}
	}

	#authenticate(context: HandlerContext): NodeId {
		const identity = context.requestHeader.get('lovageferry-peer') ?? '';
		const token = context.requestHeader.get('lovageferry-peer-token') ?? '';
		const [from = '', , to = ''] = identity.split(';');
		if (from === '' || to !== this.#options.self.nodeId || !this.#options.token.verify(identity, token)) {
			this.#log(`refused a link that claims to come from "${from}"`);
			this.#options.metrics.count('refusals', 'peer-unauthenticated');
			throw new ConnectError('the peer key does not match', Code.Unauthenticated);
		}

		return toId(from);
	}
}
