import type {Brand} from './brand.ts';

/** Name of a service in the routes document. */
export type ServiceName = Brand<string, 'ServiceName'>;
