import type {OrganisationId} from '../ids/organisation-id.ts';

/** Organisations whose finish tags are kept at most; 45,000 are in steady use at the largest size. */
const maxOrganisations = 50_000;

/** Tags that are left when there were too many: pruning is rare, so that its cost is spread. */
const organisationsAfterPruning = 40_000;

/** Fewest tags at which those that say nothing any more are dropped. */
const minPruneSize = 1024;

/**
 * Virtual time of start-time fair queueing: each organisation's work moves its finish tag on by the work
 * over its weight, and the lowest tag goes first. Tags behind the virtual time say nothing and are dropped.
 */
export class VirtualClock {
	#time = 0;
	#pruneAt = minPruneSize;
	readonly #tags = new Map<OrganisationId, number>();

	/** Number of kept tags. */
	get size(): number {
		return this.#tags.size;
	}

	/** The start tag that an organisation's next request would get now. */
	startTag(organisation: OrganisationId): number {
		return Math.max(this.#time, this.#tags.get(organisation) ?? 0);
	}

	/** Notes that an organisation got work done. */
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
