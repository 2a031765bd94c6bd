import type {Brand} from './brand.ts';

/** Identifies one data folder from its creation to its loss; a member with a new folder has a new one. */
export type StorageId = Brand<string, 'StorageId'>;
