import {z} from 'zod';
import {operationSchema as operation} from './operation-schema.ts';
import type {Step} from './step.ts';
import {stepSchemas} from './step-schemas.ts';

const milliseconds = z.number().int().nonnegative();
const options = z.record(z.string(), z.union([z.string(), z.number()]));

const step = z.union(Object.entries(stepSchemas).map(([name, schema]) => z.strictObject({[name]: schema}))) as unknown as z.ZodType<Step>;

const checks = z.strictObject({
	/** Share of a load's requests that must end in a whole answer. */
	whole: z.record(z.string(), z.number().min(0).max(1)).default({}),
	/** Smallest number of refusals with time to come back, each given within the time. */
	refusedWithin: z.record(z.string(), z.strictObject({atLeast: z.number().int(), ms: milliseconds})).default({}),
	/** Time within which 9 in 10 whole answers of a load came. */
	p90Ms: z.record(z.string(), milliseconds).default({}),
	/** Longest time of any sending of a load, refused or not. */
	maxMs: z.record(z.string(), milliseconds).default({}),
	maxCrashes: z.number().int().optional(),
	minCrashes: z.number().int().optional(),
	/** Targets that get nothing new this long after their leaving. */
	leftAfterMs: milliseconds.optional(),
	/** Smallest number of requests of a load served outside the callers' region. */
	minAway: z.record(z.string(), z.number().int()).default({}),
	maxAway: z.record(z.string(), z.number().int()).default({}),
	/** Largest number of sendings of a load whose connection broke without a word after it was made. */
	maxBroken: z.record(z.string(), z.number().int()).default({}),
	/** Smallest number of refusals of a load that say "not run", so that the invariant has something to check. */
	minNotRun: z.record(z.string(), z.number().int()).default({}),
	/** Resumed attempts that must have been seen. */
	minResumed: z.number().int().default(0),
	/** Most forwards between regions for one sending, on average over all loads. */
	maxHops: z.number().optional(),
	/** At the end every node must hold the same settings within the time. */
	agreeMs: milliseconds.optional(),
}).prefault({});

/** Language of the scenarios in `test/scenarios`. */
export const scenarioSchema = z.strictObject({
	id: z.string(),
	title: z.string(),
	seeds: z.number().int().positive().default(1),
	installation: z.strictObject({
		firm: z.enum(['prairie', 'bustan']).default('prairie'),
		entriesPerRegion: z.number().int().positive().default(2),
		engines: z.number().int().nonnegative().default(1),
		services: z.number().int().nonnegative().default(1),
		engineOptions: options.default({}),
		serviceOptions: options.default({}),
		regionDelayMs: milliseconds.default(10),
		operations: z.array(operation).default([]),
	}).prefault({}),
	steps: z.array(step).min(1),
	checks,
});
