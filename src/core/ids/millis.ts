import type {Brand} from './brand.ts';

/** Milliseconds on the monotonic clock of the process that runs the core. */
export type Millis = Brand<number, 'Millis'>;
