import type {NodeId} from '../ids/node-id.ts';

type QueuedUpdate = {
	sendsLeft: number;
	urgent: boolean;
};

/** Sends of an urgent update, for each decimal digit of the number of nodes. */
const sendsPerDigit = 8;
/** Sends of an update that is not urgent: a new settings revision, perhaps with a new load. */
const softSends = 2;

/** Members whose records changed recently, with the number of sends left for each. */
export class GossipQueue {
	readonly #updates = new Map<NodeId, QueuedUpdate>();
	#urgentQueued = false;

	/** Queues a member's record; `urgent` ones are sent before the others. */
	add(nodeId: NodeId, urgent: boolean, nodeCount: number): void {
		const queued = this.#updates.get(nodeId);
		if (!urgent && queued?.urgent) {
			return;
		}

		const sends = urgent ? sendsPerDigit * Math.ceil(Math.log10(nodeCount + 1) + 0.01) : softSends;
		this.#updates.set(nodeId, {sendsLeft: sends, urgent});
		this.#urgentQueued ||= urgent;
	}

	/** True if an urgent update was queued since the last call. */
	takeUrgentQueued(): boolean {
		const fresh = this.#urgentQueued;
		this.#urgentQueued = false;
		return fresh;
	}

	/** Returns the members whose records go into the next message: urgent ones first, then those with most sends left. */
	take(limit: number): readonly NodeId[] {
		const chosen = [...this.#updates]
			.sort(([, a], [, b]) => Number(b.urgent) - Number(a.urgent) || b.sendsLeft - a.sendsLeft)
			.slice(0, limit);
		for (const [nodeId, queued] of chosen) {
			queued.sendsLeft -= 1;
			if (queued.sendsLeft <= 0) {
				this.#updates.delete(nodeId);
			}
		}

		return chosen.map(([nodeId]) => nodeId);
	}
}
