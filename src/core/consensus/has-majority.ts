import type {Configuration} from './configuration.ts';
import {memberKey} from './member-key.ts';

/** True if `keys` (see `memberKey`) name more than half of the voters. */
export function hasMajority({voters}: Configuration, keys: ReadonlySet<string>): boolean {
	const present = voters.filter(voter => keys.has(memberKey(voter)));
	return present.length * 2 > voters.length;
}
