import {z} from 'zod';

/** One name or several, each a process, a region or a group such as `all`; parsed to an array. */
export const nameListSchema = z.union([z.string(), z.array(z.string()).min(1)]).transform(value => Array.isArray(value) ? value : [value]);
