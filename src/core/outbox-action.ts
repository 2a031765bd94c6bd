import type {JournalName} from './common/journal-name.ts';
import type {NodeId} from './ids/node-id.ts';
import type {PeerMessage} from './peer-message.ts';
import type {CounterName} from './results/counter-name.ts';

/** Actions that every kind of core may return: messages, journal writes, counters and log lines. */
export type OutboxAction =
	| {readonly type: 'send'; readonly to: NodeId; readonly message: PeerMessage}
	| {readonly type: 'append'; readonly journal: JournalName; readonly records: readonly unknown[]; readonly token: number}
	| {readonly type: 'rewrite'; readonly journal: JournalName; readonly records: readonly unknown[]; readonly token: number}
	| {readonly type: 'count'; readonly name: CounterName; readonly reason?: string; readonly amount: number}
	| {readonly type: 'log'; readonly part: string; readonly text: string}
	/** A decision for the structured log; `fields` hold the inputs of the decision. */
	| {readonly type: 'event'; readonly event: string; readonly fields: Readonly<Record<string, unknown>>};
