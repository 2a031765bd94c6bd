import {changeSchema} from './change-schema.ts';
import type {TreeProblem} from './tree-problem.ts';

/** Validates the shape of a change, before its operations are applied to the tree. */
export function validateChangeShape(change: unknown): readonly TreeProblem[] {
	const parsed = changeSchema.safeParse(change);
	return (parsed.error?.issues ?? []).map(issue => ({
		path: '',
		key: issue.path.join('.'),
		problem: issue.message,
		remedy: 'Send {changeId, operator, number, operations, submittedAt}; each operation is a create, delete, set or unset with its path.',
	}));
}
