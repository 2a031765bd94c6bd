import {z} from 'zod';
import {nameListSchema as names} from './name-list-schema.ts';

const milliseconds = z.number().int().nonnegative();

/** A load: callers in some regions, each of which sends its requests sequentially. */
export const loadSchema = z.strictObject({
	name: z.string(),
	kind: z.enum(['draft', 'answer', 'order', 'status']),
	regions: names.prefault('all'),
	callers: z.number().int().positive().default(1),
	requests: z.number().int().positive().default(10),
	everyMs: milliseconds.default(200),
	organisation: z.string().default('home'),
	tokens: z.number().int().positive().default(40),
	promptCharacters: z.number().int().positive().default(200),
	text: z.string().default(''),
	deadlineMs: milliseconds.optional(),
	giveUpMs: milliseconds.default(60_000),
	resends: z.number().int().nonnegative().default(0),
	resendWhole: z.boolean().default(false),
});
