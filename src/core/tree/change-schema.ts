import {z} from 'zod';

/** Largest number of operations in one change. */
const maxOperations = 2000;
const maxNameLength = 200;
const maxPathLength = 300;

const text = (maxLength: number) => z.string().min(1).max(maxLength);
const path = text(maxPathLength);

/** Shape of an incoming change; the effects of its operations are validated on the tree. */
export const changeSchema = z.object({
	changeId: text(maxNameLength),
	operator: text(maxNameLength),
	number: z.int().min(1),
	operations: z.array(z.discriminatedUnion('op', [
		z.object({op: z.literal('create'), path}),
		z.object({op: z.literal('delete'), path, recursive: z.boolean().optional()}),
		z.object({
			op: z.literal('set'), path, key: text(maxPathLength), value: z.unknown(),
		}),
		z.object({op: z.literal('unset'), path, key: text(maxPathLength)}),
	])).max(maxOperations, `a change has at most ${maxOperations} operations`),
	submittedAt: z.number(),
});
