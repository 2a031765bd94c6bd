import path from 'node:path';
import {toId} from '../core/ids/to-id.ts';
import {parseSettingsFile} from './parse-settings-file.ts';
import {readSecretFile} from './read-secret-file.ts';
import type {RoutesSettings} from './routes-settings.ts';
import {routesSettingsSchema} from './routes-settings-schema.ts';

/** Offsets of the ports in the range for internal traffic; they differ because a VM may run one process of each role. */
const portOffsets = {entryPeers: 0, relay: 1, controlPeers: 4} as const;
/** Peer key if none is configured: links are then not authenticated. */
const emptyKey = '';

/**
 * Reads, checks and resolves the settings file of one process of a deployment with a routes document.
 *
 * @throws SettingsError with every problem found, each with file, key and remedy.
 */
export function loadRoutesSettings(file: string): RoutesSettings {
	const settings = parseSettingsFile(file, routesSettingsSchema);
	const {internal, role, listen, peerKeyFile, controlSeeds, dataFolder} = settings;
	const folder = path.dirname(path.resolve(file));
	const peers = {host: internal.ip, port: internal.firstPort + (role === 'entry' ? portOffsets.entryPeers : portOffsets.controlPeers)};
	return {
		...settings,
		file: path.resolve(file),
		nodeId: toId(`${peers.host}:${peers.port}`),
		dataFolder: dataFolder && path.resolve(folder, dataFolder),
		listen: {
			callers: hostPort(listen.callers),
			readiness: hostPort(listen.readiness),
			operators: hostPort(listen.operators),
			directory: hostPort(listen.directory),
			metrics: listen.metricsPort === undefined ? undefined : {host: internal.ip, port: listen.metricsPort},
			peers,
			relay: {host: internal.ip, port: internal.firstPort + portOffsets.relay},
		},
		seeds: controlSeeds.map(seed => toId(`${hostPort(seed)!.host}:${internal.firstPort + portOffsets.controlPeers}`)),
		peerKeys: peerKeyFile === undefined ? [emptyKey] : readSecretFile(path.resolve(folder, peerKeyFile), 'peerKeyFile').split(/\s+/v),
	};
}

function hostPort(address: string | undefined) {
	if (address === undefined) {
		return undefined;
	}

	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
}
