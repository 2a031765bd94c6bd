import {z} from 'zod';

/** Largest number of operations in one change. */
const maxOperations = 2000;
const longestName = 200;
const longestPath = 300;

const text = (longest: number) => z.string().min(1).max(longest);
const path = text(longestPath);

/** Shape of a change as it comes in; what its operations do to the tree is checked against the tree. */
export const changeSchema = z.object({
	changeId: text(longestName),
	operator: text(longestName),
	number: z.int().min(1),
	operations: z.array(z.discriminatedUnion('op', [
		z.object({op: z.literal('create'), path}),
		z.object({op: z.literal('delete'), path, recursive: z.boolean().optional()}),
		z.object({
			op: z.literal('set'), path, key: text(longestPath), value: z.unknown(),
		}),
		z.object({op: z.literal('unset'), path, key: text(longestPath)}),
	])).max(maxOperations, `a change has at most ${maxOperations} operations`),
	submittedAt: z.number(),
});
