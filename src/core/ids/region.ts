import type {Brand} from './brand.ts';

/** Name of a region, such as `regina-a`. */
export type Region = Brand<string, 'Region'>;
