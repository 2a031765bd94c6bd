import type {OutboxAction} from './outbox-action.ts';

/** Actions that are carried out alike whatever core asks for them: messages, counters and log lines. */
export type SharedAction = Exclude<OutboxAction, {type: 'append' | 'rewrite'}>;
