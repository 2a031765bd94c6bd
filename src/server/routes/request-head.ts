import type {Prompt} from '../../core/edge/prompt.ts';

/** A caller's request as its headers tell it. */
export type RequestHead = {
	readonly method: string;
	/** Path with its query, as sent. */
	readonly path: string;
	readonly host: string;
	/** The caller's own id of the request. */
	readonly key: string;
	readonly budgetMs?: number;
	readonly prompt?: Prompt;
	readonly resumeAfter?: string;
	/** Name and value by turns: the headers that a target gets, without those that concern one connection or are the system's to set. */
	readonly copiedHeaders: readonly string[];
};
