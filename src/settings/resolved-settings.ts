import type {NodeId} from '../core/ids/node-id.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';

/** Settings of one process, resolved once: paths absolute, keys read, defaults filled in. */
export type ResolvedSettings = {
	readonly file: string;
	readonly self: NodeInfo;
	readonly listen: {readonly callers: HostPort; readonly peers: HostPort};
	/** Absolute; undefined if this process has no disk. */
	readonly dataFolder?: string;
	readonly seeds: readonly NodeInfo[];
	readonly controlMembers: readonly NodeId[];
	readonly keys: ProcessKeys;
};

type HostPort = {readonly host: string; readonly port: number};

/** Secrets of the process; read again on SIGHUP. */
type ProcessKeys = {
	/** Shared by all processes of the system; the second one is accepted too while keys are rotated. */
	readonly peer: readonly string[];
	readonly operators: ReadonlyArray<{readonly name: string; readonly sha256: string}>;
	readonly order?: string;
};
