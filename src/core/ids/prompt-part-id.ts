import type {Brand} from './brand.ts';

/** Id of a part of a prompt, as its caller chose it: at most 64 characters, or a digest. */
export type PromptPartId = Brand<string, 'PromptPartId'>;
