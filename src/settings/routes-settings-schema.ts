import {z} from 'zod';
import {isAddress} from './is-address.ts';

const address = z.string().refine(isAddress, 'must be an IP number and a port, such as 10.0.0.1:7101');
const name = z.string().min(1).max(128);
const positive = z.number().positive();

/** Checks the settings file of one process of a deployment with a routes document. */
export const routesSettingsSchema = z.strictObject({
	/** Tells this file from one of a deployment with a settings tree. */
	mode: z.literal('routes'),
	node: name,
	role: z.enum(['entry', 'control']),
	zone: name,
	region: name,
	/** Region of each zone. */
	zones: z.record(name, name),
	listen: z.strictObject({
		/** Callers of an entry. */
		callers: address.optional(),
		/** Health checks of an entry. */
		readiness: address.optional(),
		/** Targets and operators of a control node. */
		operators: address.optional(),
		/** Callers that ask a control node where to connect. */
		directory: address.optional(),
		/** Port of the metrics, on the VM's own address. */
		metricsPort: z.number().int().min(1).max(65_535).optional(),
	}),
	/** The VM's own address and its ports for traffic between processes of the system. */
	internal: z.strictObject({
		ip: z.ipv4(),
		firstPort: z.number().int().min(1).max(65_535),
		lastPort: z.number().int().min(1).max(65_535),
		/** Addresses at which processes of other VMs are reached where their own do not do, by their own: behind port forwarding, say. */
		forwards: z.record(address, address).default({}),
	}),
	/** Addresses of some control nodes, as operators use them. */
	controlSeeds: z.array(address).min(1),
	/** True only at the first start of the whole deployment, with empty disks. */
	firstStart: z.boolean().default(false),
	dataFolder: z.string().min(1).optional(),
	/** Key shared by all processes; without it their links are not authenticated. */
	peerKeyFile: z.string().min(1).optional(),
	/** Shares of a core that the VM has. @default 1 */
	cores: positive.default(1),
	/** Disks that may be lost at the same time. @default 1 */
	toleratedDisks: z.number().int().min(0).max(4).default(1),
	/** Time between two reports of a target, in milliseconds. */
	reportEveryMs: positive.default(1000),
	/** Time from the order to stop until the process is ended, in milliseconds. */
	graceMs: positive.default(10_000),
	/** Longest time that a caller may use the directory's answer, in milliseconds. */
	directoryTtlMs: positive.default(2000),
	/** Bound on requests that are sent to targets again, over the whole deployment. */
	repeats: z.strictObject({
		ratio: z.number().min(0).default(0.2),
		slack: z.number().min(0).default(10),
		windowMs: positive.default(10_000),
	}).default({ratio: 0.2, slack: 10, windowMs: 10_000}),
	/** Least level of the structured log's lines. @default info */
	logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
}).superRefine((settings, context) => {
	const needed = settings.role === 'entry' ? ['callers', 'readiness'] as const : ['operators', 'directory'] as const;
	for (const key of needed) {
		if (settings.listen[key] === undefined) {
			context.addIssue({code: 'custom', path: ['listen', key], message: `is needed by the role ${settings.role}: add the address`});
		}
	}

	if (settings.role === 'control' && settings.dataFolder === undefined) {
		context.addIssue({code: 'custom', path: ['dataFolder'], message: 'is needed by the role control: name a folder on a disk'});
	}

	if (settings.zones[settings.zone] !== settings.region) {
		context.addIssue({code: 'custom', path: ['zones', settings.zone], message: `must be "${settings.region}", the region of this VM: correct one of them`});
	}

	if (settings.internal.lastPort - settings.internal.firstPort < 5) {
		context.addIssue({code: 'custom', path: ['internal', 'lastPort'], message: 'must be at least 5 above firstPort: widen the range'});
	}
});
