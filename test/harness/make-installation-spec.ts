import {createHash} from 'node:crypto';
import type {TreeOperation} from '../../src/core/tree/tree-operation.ts';
import type {InstallationSpec} from './installation-spec.ts';
import type {NodeSpec} from './node-spec.ts';
import type {TargetSpec} from './target-spec.ts';

type Firm = 'prairie' | 'bustan';

const firms = {
	prairie: {
		deployment: 'print', engineService: 'proofer', callService: 'pressdesk', regions: ['regina-a', 'saskatoon-a', 'winnipeg-a'],
	},
	bustan: {
		deployment: 'franchise', engineService: 'lovage-writers', callService: 'jar-desk', regions: ['muscat-a', 'sohar-a', 'salalah-a'],
	},
} as const;

type SpecOptions = {
	/** @default 'prairie' */
	readonly firm?: Firm;
	/** Nodes in each region; the first is also a control member. @default 2 */
	readonly entriesPerRegion?: number;
	/** Engines in each region. @default 1 */
	readonly engines?: number;
	/** Plain services in each region. @default 1 */
	readonly services?: number;
	/** Additional command-line options of the stand-ins. */
	readonly engineOptions?: Readonly<Record<string, string | number>>;
	readonly serviceOptions?: Readonly<Record<string, string | number>>;
	/** @default true */
	readonly proxies?: boolean;
	/** @default 10 */
	readonly regionDelayMs?: number;
	/** Operations appended to those of the initial change. */
	readonly operations?: readonly TreeOperation[];
	/** Starts nodes as a deployment does: the bundle that is shipped, with this heap in MB. */
	readonly shippedHeapMb?: number;
};

const targetKey = 'test-target-key';
const model = 'layout-1';

/** Describes a small installation with the regions and services of one firm. */
export function makeInstallationSpec(options: SpecOptions = {}): InstallationSpec {
	const {firm = 'prairie', proxies = true, regionDelayMs = 10} = options;
	const {deployment, regions} = firms[firm];
	return {
		firm,
		deployment,
		nodes: regions.flatMap(region => makeNodes(region, options.entriesPerRegion ?? 2)),
		targets: regions.flatMap(region => makeTargets(firm, region, options)),
		operations: [...initialOperations(firm), ...(options.operations ?? [])],
		proxies,
		regionDelayMs,
		targetKey,
		shippedHeapMb: options.shippedHeapMb,
	};
}

function makeNodes(region: string, count: number): NodeSpec[] {
	return Array.from({length: count}, (_, index) => ({
		node: `${region.slice(0, -2)}-${index + 1}`,
		region,
		zone: `${region}-${(index % 2) + 1}`,
		roles: index === 0 ? ['entry', 'control'] as const : ['entry'] as const,
		weight: index + 1,
		disk: index === 0,
	}));
}

function makeTargets(firm: Firm, region: string, options: SpecOptions): TargetSpec[] {
	const {engineService, callService} = firms[firm];
	const target = (kind: TargetSpec['kind'], service: string, index: number): TargetSpec => ({
		id: `${region.slice(0, -2)}-${service}-${index + 1}`,
		kind,
		region,
		zone: `${region}-${(index % 2) + 1}`,
		service,
		options: kind === 'engine' ? {model, ...options.engineOptions} : {...options.serviceOptions},
	});
	return [
		...Array.from({length: options.engines ?? 1}, (_, index) => target('engine', engineService, index)),
		...Array.from({length: options.services ?? 1}, (_, index) => target('service', callService, index)),
	];
}

function initialOperations(firm: Firm): TreeOperation[] {
	const {deployment, engineService, callService, regions} = firms[firm];
	const base = `${firm}/${deployment}`;
	const created = [firm, base, `${base}/${engineService}`, `${base}/${engineService}/default`, `${base}/${callService}`];
	const routes = [`${base}/${callService}/default`, `${base}/${callService}/orders`];
	return [
		...[...created, ...routes].map(path => ({op: 'create' as const, path})),
		{
			op: 'set', path: base, key: `targetKeys/${sha256(targetKey)}`, value: {name: 'targets'},
		},
		{
			op: 'set', path: `${base}/${engineService}`, key: 'model', value: model,
		},
		{
			op: 'set', path: `${base}/${callService}/orders`, key: 'repeatable', value: false,
		},
		...regions.flatMap(region => callerKeys(firm, region)),
	];
}

/** Caller keys of a region's organisations: `home` without a residency rule, `bound` and `guest` restricted to the region. */
function callerKeys(firm: string, region: string): TreeOperation[] {
	const kinds = [{name: 'home'}, {name: 'bound', residency: [region]}, {name: 'guest', residency: [region]}];
	return kinds.map(({name, residency}) => ({
		op: 'set',
		path: firm,
		key: `callerKeys/${sha256(`${region}-${name}`)}`,
		value: {organisation: `${region}-${name}`, homeRegion: region, ...(residency ? {residency} : {})},
	}));
}

function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
