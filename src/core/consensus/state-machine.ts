import type {LogCommand} from './log-command.ts';

/** State machine of the replicated log: commands are applied in log order, with the same result on every member. */
export interface StateMachine<Outcome> {
	/** Applies one committed command; the result must depend only on the state and the arguments. */
	apply(index: number, command: LogCommand): Outcome;
	/** The whole state as plain data, for snapshots. */
	snapshot(): unknown;
	restore(snapshot: unknown): void;
}
