import type {z} from 'zod';
import type {NodeId} from '../core/ids/node-id.ts';
import type {routesSettingsSchema} from './routes-settings-schema.ts';

type HostPort = {readonly host: string; readonly port: number};

/** Settings of one process in a deployment with a routes document, after loading: absolute paths, key file read, defaults filled in. */
export type RoutesSettings = Omit<z.infer<typeof routesSettingsSchema>, 'listen' | 'peerKeyFile' | 'controlSeeds'> & {
	readonly file: string;
	/** The address of the process for its peers, so that no separate lookup of addresses by id is needed. */
	readonly nodeId: NodeId;
	readonly listen: {
		readonly callers?: HostPort;
		readonly readiness?: HostPort;
		readonly operators?: HostPort;
		readonly directory?: HostPort;
		readonly peers: HostPort;
		/** Requests forwarded by entries of remote regions. */
		readonly relay: HostPort;
		readonly metrics?: HostPort;
	};
	/** Peer addresses of the control nodes listed in the file. */
	readonly seeds: readonly NodeId[];
	readonly peerKeys: readonly string[];
};
