import type {NodeId} from '../core/ids/node-id.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import type {PeerMessage} from '../core/peer-message.ts';
import {log} from './log.ts';
import type {Metrics} from './metrics.ts';
import {PeerLink} from './peer-link.ts';
import type {PeerQueueBudget} from './peer-queue-budget.ts';
import type {PeerToken} from './peer-token.ts';

type PeerLinksOptions = {
	readonly self: Pick<NodeInfo, 'nodeId' | 'incarnation'>;
	readonly token: PeerToken;
	readonly metrics: Metrics;
	/** Bounds the queues of all peers of the process together. */
	readonly budget: PeerQueueBudget;
	/** Current peer address of a node; undefined if it is unknown. */
	readonly address: (nodeId: NodeId) => string | undefined;
	/** Takes messages that peers send back on the links; undefined if they have to open links of their own. */
	readonly onReply?: (from: NodeId, message: PeerMessage) => void;
};

/** The outgoing links of this process; each is opened by the first message to its peer. */
export class PeerLinks {
	readonly #options: PeerLinksOptions;
	readonly #links = new Map<NodeId, PeerLink>();
	readonly #log = log('peers');

	constructor(options: PeerLinksOptions) {
		this.#options = options;
	}

	/** Queues a message for a peer, over a new link if its address has changed; dropped if the address is unknown. */
	send(to: NodeId, message: PeerMessage): void {
		const address = this.#options.address(to);
		if (address === undefined) {
			return;
		}

		this.#link(to, address).send(message);
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
	}

	#link(to: NodeId, address: string): PeerLink {
		const known = this.#links.get(to);
		if (known?.address === address) {
			return known;
		}

		known?.close();
		const {metrics, budget, onReply} = this.#options;
		const link = new PeerLink({
			self: this.#options.self,
			peer: {nodeId: to, address},
			token: this.#options.token,
			budget,
			log: this.#log,
			onDropped() {
				metrics.count('peer_messages', 'dropped');
			},
			onSent(messages, bytes) {
				metrics.count('peer_messages', 'sent', messages);
				metrics.count('peer_bytes', 'sent', bytes);
			},
			onReply: onReply && ((message, length) => {
				metrics.count('peer_messages', 'received');
				metrics.count('peer_bytes', 'received', length);
				onReply(to, message);
			}),
		});
		this.#links.set(to, link);
		return link;
	}
}
