import {z} from 'zod';
import {constants} from './constants.ts';
import {isAddress} from './is-address.ts';

const address = z.string().refine(isAddress, 'must be an IPv4 address and a port, such as 10.0.0.1:7101');
const name = z.string().min(1).max(128);
const positive = z.number().positive();

/** Fewest descriptors with which a process can serve beside its own files and links. */
const minDescriptors = 128;

/** Schema of the settings file of one process in a deployment with a routes document. */
export const routesSettingsSchema = z.strictObject({
	/** Distinguishes this file from one of a deployment with a settings tree. */
	mode: z.literal('routes'),
	node: name,
	role: z.enum(['entry', 'control']),
	zone: name,
	region: name,
	/** Region of each zone. */
	zones: z.record(name, name),
	listen: z.strictObject({
		/** Requests of callers; entries only. */
		callers: address.optional(),
		/** Readiness checks; entries only. */
		readiness: address.optional(),
		/** Calls of targets and operators; control nodes only. */
		operators: address.optional(),
		/** Directory, from which callers get the addresses of entries; control nodes only. */
		directory: address.optional(),
		/** Port of the metrics at the address `internal.ip`. */
		metricsPort: z.number().int().min(1).max(65_535).optional(),
	}),
	/** Address of the VM and its range of ports for traffic between processes. */
	internal: z.strictObject({
		ip: z.ipv4(),
		firstPort: z.number().int().min(1).max(65_535),
		lastPort: z.number().int().min(1).max(65_535),
		/** Addresses to connect to instead of those that other processes advertise, by advertised address; for example behind port forwarding. */
		forwards: z.record(address, address).default({}),
	}),
	/** Operator addresses of some control nodes. */
	controlSeeds: z.array(address).min(1),
	/** True only at the first start of the whole deployment, when all disks are empty. */
	firstStart: z.boolean().default(false),
	dataFolder: z.string().min(1).optional(),
	/** File with the key shared by all processes; without it their links are not authenticated. */
	peerKeyFile: z.string().min(1).optional(),
	/** CPU cores of the VM; may be a fraction. @default 1 */
	cores: positive.default(1),
	/** Memory of the VM, in MB; the bounds on what the process holds of its requests follow from it. Empty where the platform names none. @default 210 */
	memoryMb: positive.nullish().transform(value => value ?? constants.defaultMemoryMb),
	/** Descriptors that the process may have open; the number of connections that it accepts follows from it. Empty where the platform names none. @default what the system allows the process */
	descriptors: z.number().int().min(minDescriptors).nullish().transform(value => value ?? undefined),
	/** Number of control nodes' disks that may be lost at the same time. @default 1 */
	toleratedDisks: z.number().int().min(0).max(4).default(1),
	/** Interval between reports of a target, in milliseconds. */
	reportEveryMs: positive.default(1000),
	/** Longest pause that a target may ask an entry for, in milliseconds; longer ones are ignored. */
	maxTargetPauseMs: positive.default(300_000),
	/** Time between the stop signal and the forced end of the process, in milliseconds. */
	graceMs: positive.default(10_000),
	/** Time that a caller may use the directory's answer, in milliseconds. */
	directoryTtlMs: positive.default(2000),
	/** Retry budget of each service over the whole deployment: `ratio` retries for each request in a window of `windowMs`, plus `slack` retries in each window. */
	repeats: z.strictObject({
		ratio: z.number().min(0).default(0.2),
		slack: z.number().min(0).default(10),
		windowMs: positive.default(10_000),
	}).default({ratio: 0.2, slack: 10, windowMs: 10_000}),
	/** Tolerance of the organisations' quotas, which hold in each sliding window: (rate x window + burst) x (1 + `overage`) + `slack` tokens. Without it they are not enforced. */
	quotas: z.strictObject({
		windowMs: positive,
		overage: z.number().min(0).default(0),
		slack: z.number().min(0).default(0),
	}).optional(),
	/** Minimum level of the structured log. @default info */
	logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
}).superRefine((settings, context) => {
	const needed = settings.role === 'entry' ? ['callers', 'readiness'] as const : ['operators', 'directory'] as const;
	for (const key of needed) {
		if (settings.listen[key] === undefined) {
			context.addIssue({code: 'custom', path: ['listen', key], message: `is required for the role ${settings.role}: add the address`});
		}
	}

	if (settings.role === 'control' && settings.dataFolder === undefined) {
		context.addIssue({code: 'custom', path: ['dataFolder'], message: 'is required for the role control: set it to a folder on a disk'});
	}

	if (settings.zones[settings.zone] !== settings.region) {
		context.addIssue({code: 'custom', path: ['zones', settings.zone], message: `must be "${settings.region}", the region of this VM: correct one of them`});
	}

	if (settings.internal.lastPort - settings.internal.firstPort < 5) {
		context.addIssue({code: 'custom', path: ['internal', 'lastPort'], message: 'must be at least 5 above firstPort: widen the range'});
	}
});
