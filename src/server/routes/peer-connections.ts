import type {NodeId} from '../../core/ids/node-id.ts';
import type {PeerMessage} from '../../core/peer-message.ts';
import {constants} from '../../settings/constants.ts';
import type {RoutesSettings} from '../../settings/routes-settings.ts';
import type {Metrics} from '../metrics.ts';
import {PeerLinks} from '../peer-links.ts';
import {PeerQueueBudget} from '../peer-queue-budget.ts';
import {PeerServer} from '../peer-server.ts';
import {PeerToken} from '../peer-token.ts';

type PeerConnectionsOptions = {
	readonly settings: RoutesSettings;
	readonly metrics: Metrics;
	/** Connections without a link that may be open. */
	readonly maxUnlinked: number;
	readonly onMessage: (from: NodeId, message: PeerMessage) => void;
};

/** Links to the other processes of the deployment, whose node ids are their addresses. */
export class PeerConnections {
	readonly #links: PeerLinks;
	readonly #server: PeerServer;

	constructor({settings, metrics, maxUnlinked, onMessage}: PeerConnectionsOptions) {
		const self = {nodeId: settings.nodeId, incarnation: Date.now()};
		const token = new PeerToken(() => settings.peerKeys);
		const budget = new PeerQueueBudget(constants.maxPeerQueuesBytes);
		this.#links = new PeerLinks({
			self,
			token,
			metrics,
			budget,
			address: nodeId => settings.internal.forwards[nodeId] ?? nodeId,
			// Control nodes answer entries on the entries' own links, which halves the connections and saves a round trip at the start.
			onReply: settings.role === 'entry' ? onMessage : undefined,
		});
		this.#server = new PeerServer({
			self, listen: settings.listen.peers, token, metrics, budget, maxUnlinked, onMessage,
		});
	}

	async open(): Promise<void> {
		await this.#server.open();
	}

	/** Sends a message on the link that the peer has opened, if it takes messages there, or else on one of this process. */
	send(to: NodeId, message: PeerMessage): void {
		if (!this.#server.reply(to, message)) {
			this.#links.send(to, message);
		}
	}

	async close(): Promise<void> {
		this.#links.close();
		await this.#server.close();
	}
}
