import {z} from 'zod';
import {loadSchema} from './load-schema.ts';
import {nameListSchema as names} from './name-list-schema.ts';
import {operationSchema as operation} from './operation-schema.ts';

const milliseconds = z.number().int().nonnegative();
const link = z.strictObject({
	from: names, to: names, direction: z.enum(['both', 'one-way']).default('both'), of: z.enum(['callers', 'peers']).optional(),
});
const process = z.strictObject({process: names});

const change = z.strictObject({
	at: z.string(),
	operations: z.array(operation),
	number: z.number().int().optional(),
	changeId: z.string().optional(),
	expect: z.string().default('accepted'),
	inForce: names.prefault('all'),
	withinMs: milliseconds.default(6000),
	narrows: z.strictObject({service: z.string(), regions: z.array(z.string())}).optional(),
});

/** Schema of each step's value, by the step's name. */
export const stepSchemas = {
	load: loadSchema,
	join: z.strictObject({load: names.prefault('all')}),
	wait: milliseconds,
	cut: link,
	delay: link.extend({ms: milliseconds}),
	limit: link.extend({bytesPerSecond: z.number().positive()}),
	'half-open': link,
	reset: link,
	heal: z.strictObject({}),
	kill: process,
	start: process,
	freeze: process,
	thaw: process,
	restart: process,
	drain: process,
	leave: process,
	'lose-disk': process,
	'damage-disk': process,
	'crash-on': z.strictObject({process: names, text: z.string()}),
	change,
	race: z.strictObject({
		at: z.array(z.string()).min(2), path: z.string(), key: z.string(), values: z.array(z.unknown()).min(2),
	}),
	changes: z.strictObject({
		at: z.string(), count: z.number().int().positive(), path: z.string(), key: z.string(),
	}),
	mix: z.strictObject({faults: z.tuple([z.number().int(), z.number().int()]), holdMs: milliseconds}),
};
