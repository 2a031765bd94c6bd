import {z} from 'zod';

/** One name or several: a process, a region, or `all`. */
export const nameListSchema = z.union([z.string(), z.array(z.string()).min(1)]).transform(value => Array.isArray(value) ? value : [value]);
