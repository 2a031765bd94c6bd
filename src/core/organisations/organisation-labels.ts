import type {OrganisationId} from '../ids/organisation-id.ts';

/** Number of organisations that metrics tell apart: each costs a line per counter for as long as the process runs. */
const maxLabels = 64;
/** Label of the organisations beyond that number. */
const otherLabel = '(other)';

/** Labels of organisations in metrics, bounded in number over all documents of a run: the first ones that call get labels of their own. */
export class OrganisationLabels {
	readonly #names = new Set<OrganisationId>();

	of(name: OrganisationId): string {
		if (this.#names.size < maxLabels) {
			this.#names.add(name);
		}

		return this.#names.has(name) ? name : otherLabel;
	}
}
