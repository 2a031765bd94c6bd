import type {z} from 'zod';
import type {scenarioSchema} from './scenario-schema.ts';

/** One parsed scenario file. */
export type Scenario = z.infer<typeof scenarioSchema>;
