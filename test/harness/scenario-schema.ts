import {z} from 'zod';
import {operationSchema as operation} from './operation-schema.ts';
import type {Step} from './step.ts';
import {stepSchemas} from './step-schemas.ts';

const milliseconds = z.number().int().nonnegative();
const options = z.record(z.string(), z.union([z.string(), z.number()]));

const step = z.union(Object.entries(stepSchemas).map(([name, schema]) => z.strictObject({[name]: schema}))) as unknown as z.ZodType<Step>;

const checks = z.strictObject({
	/** Minimum share of a load's requests that end in a complete answer. */
	whole: z.record(z.string(), z.number().min(0).max(1)).default({}),
	/** Minimum number of refusals; each must come within `ms` and carry a retry delay. */
	refusedWithin: z.record(z.string(), z.strictObject({atLeast: z.number().int(), ms: milliseconds})).default({}),
	/** Maximum 90th percentile of the duration of a load's complete answers, in milliseconds. */
	p90Ms: z.record(z.string(), milliseconds).default({}),
	/** Maximum duration of any sending of a load, refused or not, in milliseconds. */
	maxMs: z.record(z.string(), milliseconds).default({}),
	maxCrashes: z.number().int().optional(),
	minCrashes: z.number().int().optional(),
	/** Milliseconds after which a target that announced that it leaves must receive no new requests. */
	leftAfterMs: milliseconds.optional(),
	/** Minimum number of runs of a load in remote regions. */
	minAway: z.record(z.string(), z.number().int()).default({}),
	maxAway: z.record(z.string(), z.number().int()).default({}),
	/** Maximum number of a load's answers that broke off after the connection was established. */
	maxBroken: z.record(z.string(), z.number().int()).default({}),
	/** Minimum number of refusals of a load that say "not run", so that the invariant has something to check. */
	minNotRun: z.record(z.string(), z.number().int()).default({}),
	/** Minimum number of resumed attempts. */
	minResumed: z.number().int().default(0),
	/** Maximum number of forwards between regions per sending, averaged over all loads. */
	maxHops: z.number().optional(),
	/** Milliseconds after the end of all loads within which all nodes must hold the same settings. */
	agreeMs: milliseconds.optional(),
}).prefault({});

/** Format of the scenario files in `test/scenarios`. */
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
