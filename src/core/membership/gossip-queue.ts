import type {NodeId} from '../ids/node-id.ts';

type QueuedUpdate = {
	sendsLeft: number;
	urgent: boolean;
};

/** Times that an update is passed on, for each decimal digit of the number of nodes. */
const sendsPerDigit = 8;
/** Times that a change of load or revision is passed on. */
const softSends = 2;

/** Members whose records changed lately, and how often each is still passed on. */
export class GossipQueue {
	readonly #updates = new Map<NodeId, QueuedUpdate>();
	#urgentQueued = false;

	/** Queues a member's record; an `urgent` one goes before the others. */
	add(nodeId: NodeId, urgent: boolean, nodeCount: number): void {
		const queued = this.#updates.get(nodeId);
		if (!urgent && queued?.urgent) {
			return;
		}

		const sends = urgent ? sendsPerDigit * Math.ceil(Math.log10(nodeCount + 1) + 0.01) : softSends;
		this.#updates.set(nodeId, {sendsLeft: sends, urgent});
		this.#urgentQueued ||= urgent;
	}

	/** True once after an urgent update was queued. */
	takeUrgentQueued(): boolean {
		const fresh = this.#urgentQueued;
		this.#urgentQueued = false;
		return fresh;
	}

	/** Returns the members to tell of in the next message: urgent ones first, then those told of least. */
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
