import type {z} from 'zod';
import type {stepSchemas} from './step-schemas.ts';

/** Parsed value of each step, by the step's name. */
export type StepValues = {[Name in keyof typeof stepSchemas]: z.infer<(typeof stepSchemas)[Name]>};
