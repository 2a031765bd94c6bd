import {createHash} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {stringify} from 'yaml';
import type {InstallationSpec} from './installation-spec.ts';
import type {NodeSpec} from './node-spec.ts';

type Ports = {readonly callers: number; readonly peers: number};

/** File mode of secrets: readable and writable by the owner only. */
const secretMode = 0o600;

/** Writes the settings file and the key files of one node; returns the path of the settings file. */
export function writeNodeSettings(options: {
	readonly spec: InstallationSpec;
	readonly node: NodeSpec;
	readonly folder: string;
	readonly operatorKey: string;
	/** Ports on which the node listens. */
	readonly own: Ports;
	/** Ports at which the node reaches each other node, by that node's name. */
	readonly others: ReadonlyMap<string, Ports>;
}): string {
	const {spec, node, folder, own, others, operatorKey} = options;
	mkdirSync(folder, {recursive: true});
	writeFileSync(path.join(folder, 'peer.key'), 'test-peer-key-0123456789abcdef', {mode: secretMode});
	writeFileSync(path.join(folder, 'order.key'), 'test-order-key', {mode: secretMode});
	const operator = {name: 'tester', sha256: createHash('sha256').update(operatorKey).digest('hex')};
	writeFileSync(path.join(folder, 'operators.yaml'), stringify([operator]), {mode: secretMode});
	const file = path.join(folder, `${node.node}.yaml`);
	writeFileSync(file, stringify({
		node: node.node,
		region: node.region,
		zone: node.zone,
		roles: node.roles,
		listen: {callers: `127.0.0.1:${own.callers}`, peers: `127.0.0.1:${own.peers}`},
		weight: node.weight,
		...(node.disk ? {dataFolder: 'data'} : {}),
		peerKeyFile: 'peer.key',
		operatorKeysFile: 'operators.yaml',
		orderKeyFile: 'order.key',
		peers: spec.nodes.filter(other => other !== node).map(other => ({
			node: other.node,
			region: other.region,
			zone: other.zone,
			roles: other.roles,
			callers: `127.0.0.1:${others.get(other.node)!.callers}`,
			peers: `127.0.0.1:${others.get(other.node)!.peers}`,
			weight: other.weight,
			disk: other.disk,
		})),
		control: {members: spec.nodes.filter(other => other.roles.includes('control')).map(other => other.node)},
	}));
	return file;
}
