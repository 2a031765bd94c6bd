import type {Brand} from './brand.ts';

/** Something that requests have in common and that may crash targets, such as a shared part of their prompts. */
export type RequestTrait = Brand<string, 'RequestTrait'>;
