import type {ChangeId} from '../../../src/core/ids/change-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import type {Change} from '../../../src/core/tree/change.ts';

/** Makes a change for tests; without operations it is valid for any tree. */
export function makeChange(options: Partial<Omit<Change, 'changeId'>> & {changeId?: string} = {}): Change {
	const number = options.number ?? 1;
	return {
		operator: 'clerk',
		operations: [],
		submittedAt: 0,
		...options,
		number,
		changeId: toId<ChangeId>(options.changeId ?? `change-${number}`),
	};
}
