import {z} from 'zod';

const path = z.string();

/** One operation on the settings tree, in the format of the changes API. */
export const operationSchema = z.discriminatedUnion('op', [
	z.strictObject({op: z.literal('create'), path}),
	z.strictObject({op: z.literal('delete'), path, recursive: z.boolean().optional()}),
	z.strictObject({
		op: z.literal('set'), path, key: z.string(), value: z.unknown(),
	}),
	z.strictObject({op: z.literal('unset'), path, key: z.string()}),
]);
