import type {OrganisationId} from '../ids/organisation-id.ts';
import type {RequestId} from '../ids/request-id.ts';
import type {WaitingRequest} from './waiting-request.ts';

/** Waiting requests of one priority, in a FIFO queue per organisation. */
export class PriorityClass {
	readonly #backlogs = new Map<OrganisationId, {items: WaitingRequest[]; weight: number}>();
	#size = 0;

	/** Number of waiting requests. */
	get size(): number {
		return this.#size;
	}

	/** Organisations with waiting requests. */
	organisations(): Iterable<OrganisationId> {
		return this.#backlogs.keys();
	}

	/** Number of waiting requests of an organisation. */
	backlog(organisation: OrganisationId): number {
		return this.#backlogs.get(organisation)?.items.length ?? 0;
	}

	/** Oldest request of an organisation that is not in `skipped`. */
	head(organisation: OrganisationId, skipped: ReadonlySet<RequestId>): WaitingRequest | undefined {
		const items = this.#backlogs.get(organisation)?.items;
		return skipped.size === 0 ? items?.[0] : items?.find(({req}) => !skipped.has(req.requestId));
	}

	add(waiting: WaitingRequest): void {
		const {organisation, organisationWeight} = waiting.req;
		const backlog = this.#backlogs.get(organisation) ?? {items: [], weight: organisationWeight};
		backlog.items.push(waiting);
		backlog.weight = organisationWeight;
		this.#backlogs.set(organisation, backlog);
		this.#size += 1;
	}

	remove(waiting: WaitingRequest): void {
		const backlog = this.#backlogs.get(waiting.req.organisation);
		const index = backlog?.items.indexOf(waiting) ?? -1;
		if (!backlog || index === -1) {
			return;
		}

		backlog.items.splice(index, 1);
		this.#size -= 1;
		if (backlog.items.length === 0) {
			this.#backlogs.delete(waiting.req.organisation);
		}
	}

	/** Backlog of an organisation, plus `more` requests, divided by its weight. */
	relativeBacklog(organisation: OrganisationId, weight: number, more = 0): number {
		return (this.backlog(organisation) + more) / Math.max(weight, Number.EPSILON);
	}

	/** Newest request of the organisation with the largest backlog relative to its weight; undefined if the class is empty. */
	newestOfLargestBacklog(): WaitingRequest | undefined {
		let largest = 0;
		let newest: WaitingRequest | undefined;
		for (const {items, weight} of this.#backlogs.values()) {
			const relative = items.length / Math.max(weight, Number.EPSILON);
			if (relative > largest) {
				largest = relative;
				newest = items.at(-1);
			}
		}

		return newest;
	}

	/** Requests that are served before a new one of an organisation under round robin. */
	requestsAheadOf(organisation: OrganisationId): number {
		const own = this.backlog(organisation);
		let ahead = 0;
		for (const {items} of this.#backlogs.values()) {
			ahead += Math.min(items.length, own + 1);
		}

		return ahead;
	}
}
