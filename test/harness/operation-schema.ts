import {z} from 'zod';

/** One operation on the settings tree, as the product's interface takes it. */
export const operationSchema = z.looseObject({op: z.enum(['create', 'delete', 'set', 'unset']), path: z.string()});
