import type {Configuration} from './configuration.ts';
import {memberKey} from './member-key.ts';
import {votingSets} from './voting-sets.ts';

/** True if `keys` (see `memberKey`) name more than half of the voters, or of each of the sets that vote. */
export function hasMajority(configuration: Configuration, keys: ReadonlySet<string>): boolean {
	return votingSets(configuration).every(set => {
		const present = set.filter(voter => keys.has(memberKey(voter)));
		return present.length * 2 > set.length;
	});
}
