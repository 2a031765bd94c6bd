import type {Brand} from './brand.ts';

/** Identifies a customer of a firm: a city, an office or a franchise shop. */
export type OrganisationId = Brand<string, 'OrganisationId'>;
