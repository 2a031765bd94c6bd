import {z} from 'zod';
import {nameListSchema as names} from './name-list-schema.ts';

const milliseconds = z.number().int().nonnegative();

/** A load: callers in some regions, each of which sends its requests sequentially. */
export const loadSchema = z.strictObject({
	name: z.string(),
	/**
	 * `draft`: a streamed completion; `answer`: a completion in one piece; `order`: a call with an idempotency key on a route with `repeatable: false`;
	 * `status`: a read without an idempotency key.
	 */
	kind: z.enum(['draft', 'answer', 'order', 'status']),
	regions: names.prefault('all'),
	/** Number of callers in each region. */
	callers: z.number().int().positive().default(1),
	/** Number of requests of each caller. */
	requests: z.number().int().positive().default(10),
	/** Pause of a caller between two of its requests, in milliseconds. */
	everyMs: milliseconds.default(200),
	/** Kind of organisation of the caller in its region: `home`, `bound` or `guest`. */
	organisation: z.string().default('home'),
	/** Number of tokens that a completion asks for. */
	tokens: z.number().int().positive().default(40),
	/** Length of a prompt before its unique part. */
	promptCharacters: z.number().int().positive().default(200),
	/** Text that is added to an order or replaces the unique part of a prompt; targets can be set to crash on it. */
	text: z.string().default(''),
	deadlineMs: milliseconds.optional(),
	/** Time after which a caller gives up on a sending, in milliseconds. */
	giveUpMs: milliseconds.default(60_000),
	/** Maximum number of retries of a request. */
	resends: z.number().int().nonnegative().default(0),
	/** True to send a request again even after a complete answer, so that all `resends` are used. */
	resendWhole: z.boolean().default(false),
});
