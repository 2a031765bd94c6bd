import type {Brand} from './brand.ts';

/** Identifies a data folder from its creation to its loss; a member with a new folder has a new id. */
export type StorageId = Brand<string, 'StorageId'>;
