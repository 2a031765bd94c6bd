import type {StepValues} from './step-values.ts';

/** One step of a scenario: an object with the step's name as its only key. */
export type Step = {[Name in keyof StepValues]: Readonly<Record<Name, StepValues[Name]>>}[keyof StepValues];
