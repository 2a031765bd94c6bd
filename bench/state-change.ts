import type {ChangeId} from '../src/core/ids/change-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {Change} from '../src/core/tree/change.ts';
import type {TreeOperation} from '../src/core/tree/tree-operation.ts';

/** Creates a change of typical size: by default the first creates a firm, later ones set one of its values. */
export function stateChange(number: number, operations?: readonly TreeOperation[]): Change {
	const first: TreeOperation = {op: 'create', path: 'prairie'};
	const later: TreeOperation = {
		op: 'set', path: 'prairie', key: 'deadlineMs', value: 10_000 + number,
	};
	return {
		changeId: toId<ChangeId>(`2f7c9a52-6b1e-4f6e-9d0a-${String(number).padStart(12, '0')}`),
		operator: 'clerk@prairie.example',
		number,
		operations: operations ?? [number === 1 ? first : later],
		submittedAt: 1_700_000_000_000 + number,
	};
}
