import type {LogCommand} from './log-command.ts';

/** The state machine behind the replicated log: applied in log order, the same on every member. */
export interface StateMachine<Outcome> {
	/** Applies one committed command; must depend on nothing but the state and its arguments. */
	apply(index: number, command: LogCommand): Outcome;
	/** The whole state as plain data, for snapshots. */
	snapshot(): unknown;
	restore(snapshot: unknown): void;
}
