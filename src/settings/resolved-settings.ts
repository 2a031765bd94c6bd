import type {NodeId} from '../core/ids/node-id.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';

/** Settings of one process after loading: absolute paths, key files read, defaults filled in. */
export type ResolvedSettings = {
	readonly file: string;
	readonly self: NodeInfo;
	readonly listen: {readonly callers: HostPort; readonly peers: HostPort};
	/** Absolute path; undefined if the process has no disk. */
	readonly dataFolder?: string;
	/** Memory of the VM, in MB. */
	readonly memoryMb: number;
	readonly seeds: readonly NodeInfo[];
	readonly controlMembers: readonly NodeId[];
	readonly keys: ProcessKeys;
};

type HostPort = {readonly host: string; readonly port: number};

/** Secrets of the process; reloaded on SIGHUP. */
type ProcessKeys = {
	/** Keys shared by all processes: the first signs, any further one is accepted as well while keys are rotated. */
	readonly peer: readonly string[];
	readonly operators: ReadonlyArray<{readonly name: string; readonly sha256: string}>;
	/** Key sent with orders to engines, for engines that check the sender. */
	readonly order?: string;
};
