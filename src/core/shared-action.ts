import type {OutboxAction} from './outbox-action.ts';

/** Actions that are executed in the same way for every kind of core: messages, counters and log lines. */
export type SharedAction = Exclude<OutboxAction, {type: 'append' | 'rewrite'}>;
