import type {KeyDigest} from '../ids/key-digest.ts';
import type {OrganisationId} from '../ids/organisation-id.ts';
import type {Region} from '../ids/region.ts';
import {maxOrganisationNameLength} from './max-organisation-name-length.ts';
import type {Organisation} from './organisation.ts';

/** Targets get the name in a header: it has no control characters, unpaired surrogates or surrounding blanks. */
const namePattern = /^(?!\s)[^\p{Cc}\p{Cs}]+(?<!\s)$/v;

type Options = {
	/** Regions of the deployment; undefined if they are not known. */
	readonly regions?: ReadonlySet<Region>;
};

/** Problems of the organisations of a routes document, as messages for the operator with field and remedy; empty if there are none. No message contains a key or its digest. */
export function organisationProblems(organisations: readonly Organisation[], {regions}: Options = {}): readonly string[] {
	const problems: string[] = [];
	const names = new Set<OrganisationId>();
	const owners = new Map<KeyDigest, {readonly name: OrganisationId; readonly index: number}>();
	for (const [index, organisation] of organisations.entries()) {
		const {name, keyDigests} = organisation;
		const label = name === '' ? `organisation ${index + 1}` : `organisation ${name}`;
		problems.push(...nameProblems(name, names).map(problem => `${label}: ${problem}`));
		names.add(name);
		for (const [keyIndex, digest] of keyDigests.entries()) {
			const owner = owners.get(digest);
			if (owner !== undefined && owner.index !== index) {
				problems.push(`${label}: key ${keyIndex + 1} is also a key of ${owner.name}: remove it from one of them`);
			}

			owners.set(digest, owner ?? {name, index});
		}

		problems.push(...valueProblems(organisation, regions).map(problem => `${label}: ${problem}`));
	}

	return problems;
}

function nameProblems(name: OrganisationId, earlier: ReadonlySet<OrganisationId>): readonly string[] {
	if (name === '') {
		return ['the name is empty: set one'];
	}

	return [
		...earlier.has(name) ? ['another organisation has the same name: rename one'] : [],
		...namePattern.test(name) ? [] : ['the name cannot be sent in a header: remove control characters and surrounding blanks'],
		...name.length > maxOrganisationNameLength ? [`the name is longer than ${maxOrganisationNameLength} characters: shorten it`] : [],
	];
}

function valueProblems({priority = 0, quota, homes}: Organisation, regions: ReadonlySet<Region> | undefined): readonly string[] {
	const amounts = {
		priority, rate: quota?.perSecond ?? 0, burst: quota?.burst ?? 0, 'tokens of a request without token counts': quota?.defaultTokens ?? 0,
	};
	const unknownHomes = homes.filter(region => regions !== undefined && !regions.has(region));
	return [
		...Object.entries(amounts)
			.filter(([, amount]) => !(amount >= 0 && Number.isFinite(amount)))
			.map(([field]) => `${field}: must be a finite number of at least 0: correct it or leave it out`),
		...unknownHomes.map(region => `home region ${region} is not a region of this deployment: use ${[...regions!].join(', ')}`),
	];
}
