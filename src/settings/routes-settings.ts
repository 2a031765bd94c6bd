import type {z} from 'zod';
import type {NodeId} from '../core/ids/node-id.ts';
import type {routesSettingsSchema} from './routes-settings-schema.ts';

type HostPort = {readonly host: string; readonly port: number};

/** Settings of one process of a deployment with a routes document, resolved once. */
export type RoutesSettings = Omit<z.infer<typeof routesSettingsSchema>, 'listen' | 'peerKeyFile' | 'controlSeeds'> & {
	readonly file: string;
	/** The process's own address for its peers is its id, so that nothing but addresses has to be found out. */
	readonly nodeId: NodeId;
	readonly listen: {
		readonly callers?: HostPort;
		readonly readiness?: HostPort;
		readonly operators?: HostPort;
		readonly directory?: HostPort;
		readonly peers: HostPort;
		/** Requests that entries of other regions forward. */
		readonly relay: HostPort;
		readonly metrics?: HostPort;
	};
	/** Peer addresses of the control nodes that the file names. */
	readonly seeds: readonly NodeId[];
	readonly peerKeys: readonly string[];
};
