import type {RoutesCommand} from '../routes/routes-command.ts';

type Evacuation = RoutesCommand & {type: 'evacuation'};

/** A change as a control node passes it on to the leader. @default basis - the end of the leader's log when it opens the order */
export type OperatorCommand = Exclude<RoutesCommand, Evacuation> | (Omit<Evacuation, 'basis'> & {readonly basis?: number});
