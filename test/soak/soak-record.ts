import type {RefusedSending} from './refused-sending.ts';
import type {SoakNode} from './soak-node.ts';

/** One request of a soak, as its caller saw it, over all its sendings under one identifier; what does not name a sending is of the last one. Times are milliseconds since the start of the run. */
export type SoakRecord<Entry extends {readonly name: string} = SoakNode> = {
	readonly id: string;
	/** `note`: a stream that no other target may take up. */
	readonly kind: 'call' | 'order' | 'draft' | 'note';
	/** Earlier sendings, in order. */
	readonly refusedSendings: RefusedSending[];
	entry: Entry;
	/** Identifier of the request with which the caller took up its stream after it broke off. */
	resumedBy?: string;
	/** True if that request brought the rest of the stream. */
	resumed?: boolean;
	sentAt: number;
	/** True if, when the request was sent, no fault had affected its entry or any control node within the stability window. */
	withoutRecentFault: boolean;
	endAt: number;
	/**
	 * `refused`: a status that says that the request has not run; `failed`: any other status than 200;
	 * `broken`: the connection ended before the answer was complete; `unreachable`: no connection to the entry.
	 */
	outcome: 'served' | 'refused' | 'failed' | 'broken' | 'unreachable';
	status?: number;
	/** Message of a violation, if the answer is not the one to this request. */
	problem?: string;
};
