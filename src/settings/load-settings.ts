import path from 'node:path';
import {z} from 'zod';
import {toId} from '../core/ids/to-id.ts';
import type {NodeInfo} from '../core/membership/node-info.ts';
import {parseSettingsFile} from './parse-settings-file.ts';
import {processSettingsSchema} from './process-settings-schema.ts';
import {readSecretFile} from './read-secret-file.ts';
import type {ResolvedSettings} from './resolved-settings.ts';
import {SettingsError} from './settings-error.ts';

type ProcessSettings = z.infer<typeof processSettingsSchema>;

const operatorsSchema = z.array(z.strictObject({
	name: z.string().min(1),
	sha256: z.string().regex(/^[0-9a-f]{64}$/v, 'must be the SHA-256 of the key in lower-case hexadecimal'),
})).min(1);

/**
 * Reads, checks and resolves the settings file of one process.
 *
 * @param startedAt - wall-clock start of the process in milliseconds: its incarnation.
 * @throws SettingsError with every problem found, each with file, key and remedy.
 */
export function loadSettings(file: string, startedAt: number): ResolvedSettings {
	const settings = parseSettingsFile(file, processSettingsSchema);
	const folder = path.dirname(path.resolve(file));
	const problems: string[] = [];
	const keys = {
		peer: collectProblems(problems, () => readSecretFile(path.resolve(folder, settings.peerKeyFile), 'peerKeyFile').split(/\s+/v)) ?? [],
		operators: collectProblems(problems, () => readOperators(path.resolve(folder, settings.operatorKeysFile))) ?? [],
		order: settings.orderKeyFile && collectProblems(problems, () => readSecretFile(path.resolve(folder, settings.orderKeyFile!), 'orderKeyFile')),
	};
	if (problems.length > 0) {
		throw new SettingsError(problems);
	}

	return {
		file: path.resolve(file),
		self: selfInfo(settings, startedAt),
		listen: {callers: hostPort(settings.listen.callers), peers: hostPort(settings.listen.peers)},
		dataFolder: settings.dataFolder && path.resolve(folder, settings.dataFolder),
		memoryMb: settings.memoryMb,
		seeds: settings.peers.map(peer => seedInfo(peer)),
		controlMembers: settings.control.members.map(member => toId(member)),
		keys,
	};
}

function readOperators(file: string) {
	// Read for its checks alone: refuses a file that other users may read.
	readSecretFile(file, 'operatorKeysFile');
	return parseSettingsFile(file, operatorsSchema);
}

function collectProblems<Value>(problems: string[], read: () => Value): Value | undefined {
	try {
		return read();
	} catch (error) {
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		problems.push(...error.problems);
		return undefined;
	}
}

function selfInfo(settings: ProcessSettings, startedAt: number): NodeInfo {
	return {
		nodeId: toId(settings.node),
		region: toId(settings.region),
		zone: toId(settings.zone),
		roles: settings.roles,
		callerAddress: settings.advertise?.callers ?? settings.listen.callers,
		peerAddress: settings.advertise?.peers ?? settings.listen.peers,
		weight: settings.weight,
		hasDisk: settings.dataFolder !== undefined,
		incarnation: startedAt,
	};
}

function seedInfo(peer: ProcessSettings['peers'][number]): NodeInfo {
	return {
		nodeId: toId(peer.node),
		region: toId(peer.region),
		zone: toId(peer.zone),
		roles: peer.roles,
		callerAddress: peer.callers,
		peerAddress: peer.peers,
		weight: peer.weight,
		hasDisk: peer.disk,
		incarnation: 0,
	};
}

function hostPort(address: string) {
	const [host, port] = address.split(':');
	return {host: host!, port: Number(port)};
}
