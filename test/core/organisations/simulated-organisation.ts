import type {SeededRandom} from '../../../src/core/common/seeded-random.ts';
import type {OrganisationQuota} from '../../../src/core/organisations/organisation-quota.ts';

/** An organisation's demand: `load` times its quota rate at a moment, and which entries it comes at. */
export type SimulatedOrganisation = {
	readonly quota: OrganisationQuota;
	/** Tokens of one request. */
	readonly cost: number;
	readonly load: (ms: number) => number;
	/** Number of the entry that gets a request. */
	readonly pick: (ms: number, random: SeededRandom, entries: number) => number;
	/** Largest share of the quota that is asked for in any window; absent for one that ignores its quota. */
	readonly most?: number;
};
