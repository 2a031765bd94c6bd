import type {OrganisationId} from '../ids/organisation-id.ts';

/** Largest number of finish tags, one per organisation; at the largest installation size, 45,000 organisations are active all the time. */
const maxOrganisations = 50_000;

/** Tags left after pruning an overfull table, so that pruning is rare and its cost amortised. */
const organisationsAfterPruning = 40_000;

/** Smallest number of tags at which those behind the virtual time are pruned. */
const minPruneSize = 1024;

/**
 * Virtual time of start-time fair queueing. Work of an organisation advances its finish tag by work divided by
 * weight, and the organisation with the lowest start tag is served first. A finish tag behind the virtual time has
 * no effect and may be dropped.
 */
export class VirtualClock {
	#time = 0;
	#pruneAt = minPruneSize;
	readonly #tags = new Map<OrganisationId, number>();

	/** Number of finish tags kept. */
	get size(): number {
		return this.#tags.size;
	}

	/** Start tag of an organisation's next request. */
	startTag(organisation: OrganisationId): number {
		return Math.max(this.#time, this.#tags.get(organisation) ?? 0);
	}

	/** Records work done for an organisation; `start` is the start tag it was served under. */
	advance(organisation: OrganisationId, options: {start: number; work: number; weight: number}): void {
		const {start, work, weight} = options;
		this.#time = Math.max(this.#time, start);
		this.#tags.delete(organisation);
		this.#tags.set(organisation, start + (work / Math.max(weight, Number.EPSILON)));
		if (this.#tags.size > this.#pruneAt) {
			this.#prune();
		}
	}

	#prune(): void {
		const tooMany = this.#tags.size > maxOrganisations;
		for (const [organisation, tag] of this.#tags) {
			if (tag <= this.#time || (tooMany && this.#tags.size > organisationsAfterPruning)) {
				this.#tags.delete(organisation);
			}
		}

		this.#pruneAt = Math.min(maxOrganisations, Math.max(minPruneSize, this.#tags.size * 2));
	}
}
