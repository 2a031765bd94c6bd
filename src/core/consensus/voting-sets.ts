import type {Configuration} from './configuration.ts';
import type {LogMember} from './log-member.ts';
import {memberKey} from './member-key.ts';

/** The sets of members of each of which a majority is needed: while one voter replaces another, the voters with either of them. */
export function votingSets({voters, replacement}: Configuration): ReadonlyArray<readonly LogMember[]> {
	if (replacement === undefined) {
		return [voters];
	}

	const {leaving, joining} = replacement;
	return [joining, leaving].map(member => voters.filter(voter => memberKey(voter) !== memberKey(member)));
}
