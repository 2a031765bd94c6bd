import {z} from 'zod';
import {constants} from './constants.ts';
import {isAddress} from './is-address.ts';

const address = z.string().refine(isAddress, 'must be an IPv4 address and a port, such as 10.0.0.1:7101');
const name = z.string().regex(/^[a-z0-9][a-z0-9\-]{0,62}$/v, 'must be 1 to 63 lower-case letters, digits and hyphens and not start with a hyphen');
const roles = z.array(z.enum(['entry', 'control'])).min(1);

/** Schema of the settings file of one process. */
export const processSettingsSchema = z.strictObject({
	node: name,
	region: name,
	zone: name,
	roles,
	listen: z.strictObject({callers: address, peers: address}),
	/** Addresses at which callers and peers reach this process, if they differ from `listen`. */
	advertise: z.strictObject({callers: address.optional(), peers: address.optional()}).optional(),
	/** Relative size of the VM. @default 1 */
	weight: z.number().positive().max(1000).default(1),
	/** Memory of the VM, in MB; the bounds on what the process holds of its requests follow from it. @default 210 */
	memoryMb: z.number().positive().default(constants.defaultMemoryMb),
	dataFolder: z.string().min(1).optional(),
	/** File with the keys shared by all processes, separated by white space: the first signs, the others are accepted as well. */
	peerKeyFile: z.string().min(1),
	/** YAML file with the name and the SHA-256 of the key of each operator. */
	operatorKeysFile: z.string().min(1),
	/** File with the key sent with orders to engines. */
	orderKeyFile: z.string().min(1).optional(),
	peers: z.array(z.strictObject({
		node: name,
		region: name,
		zone: name,
		roles,
		callers: address,
		peers: address,
		weight: z.number().positive().max(1000).default(1),
		/** True if the peer has a data folder. */
		disk: z.boolean().default(false),
	})).default([]),
	control: z.strictObject({members: z.array(name).min(1)}),
}).superRefine((settings, context) => {
	if (settings.roles.includes('control') && !settings.dataFolder) {
		context.addIssue({code: 'custom', path: ['dataFolder'], message: 'is required for the role control: set it to a folder on a disk'});
	}

	const knownNodes = new Set([settings.node, ...settings.peers.map(peer => peer.node)]);
	for (const [index, member] of settings.control.members.entries()) {
		if (!knownNodes.has(member)) {
			context.addIssue({code: 'custom', path: ['control', 'members', index], message: `"${member}" is not listed under peers: add it there`});
		}
	}

	const names = settings.peers.map(peer => peer.node);
	for (const [index, peer] of names.entries()) {
		if (peer === settings.node || names.indexOf(peer) !== index) {
			context.addIssue({code: 'custom', path: ['peers', index, 'node'], message: `"${peer}" is listed twice: remove one`});
		}
	}
});
