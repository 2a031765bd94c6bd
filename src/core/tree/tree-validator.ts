import type {z} from 'zod';
import type {Region} from '../ids/region.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import {keyedSettingRules} from './keyed-setting-rules.ts';
import type {TreeNodeStore} from './tree-node-store.ts';
import type {SettingKey} from './setting-key.ts';
import {settingRules} from './setting-rules.ts';
import type {TouchedSettings} from './touched-settings.ts';
import type {TreeNode} from './tree-node.ts';
import type {TreeProblem} from './tree-problem.ts';

type CallerKey = RouteSettings['callerKeys'][string];

const regionSettings = new Set(['residency', 'homeRegion']);
const homeRegionRemedy = 'Choose a home region inside the residency, or widen the residency.';

/** Validates the tree that a change results in: the touched values, and the values of other nodes that depend on them. */
export class TreeValidator {
	readonly #store: TreeNodeStore;
	#problems: TreeProblem[] = [];

	constructor(store: TreeNodeStore) {
		this.#store = store;
	}

	validate(touched: TouchedSettings): readonly TreeProblem[] {
		this.#problems = [];
		for (const [path, keys] of touched) {
			const node = this.#store.get(path);
			if (node !== undefined) {
				this.#checkNode(node, keys);
			}
		}

		// The checks of two touched nodes on one path can find the same problem below both.
		const distinct = new Map(this.#problems.map(problem => [`${problem.path} ${problem.key ?? ''} ${problem.problem}`, problem]));
		return [...distinct.values()];
	}

	#checkNode(node: TreeNode, keys: readonly SettingKey[]): void {
		const regionsChanged = keys.some(key => regionSettings.has(key.name));
		const problemsBefore = this.#problems.length;
		const distinct = new Map(keys.map(key => [`${key.name}/${key.subkey ?? ''}`, key]));
		for (const key of distinct.values()) {
			this.#checkValue(node, key);
		}

		if (this.#problems.length > problemsBefore) {
			return;
		}

		if (regionsChanged) {
			this.#checkRegions(node, resolvedValue<readonly Region[]>(node.parent, 'residency'), resolvedValue<Region>(node.parent, 'homeRegion'));
			return;
		}

		for (const key of distinct.values()) {
			if (key.name === 'callerKeys') {
				this.#checkCallerHomeRegion(node, key.subkey!, resolvedValue<readonly Region[]>(node, 'residency'));
			}
		}
	}

	#checkValue(node: TreeNode, key: SettingKey): void {
		const {name, subkey} = key;
		const rule = subkey === undefined ? settingRules[name] : keyedSettingRules[name];
		const value = subkey === undefined ? node.own[name] : recordOf(node, name)[subkey];
		if (rule === undefined || value === undefined) {
			return;
		}

		const parsed = rule.schema.safeParse(value);
		for (const issue of parsed.error?.issues ?? []) {
			this.#addProblem(node, key, describe(issue), rule.remedy);
		}

		if (parsed.success && (name === 'callerKeys' || name === 'targetKeys')) {
			this.#checkUnique(node, key, this.#store[name].pathsOf(subkey!));
		}
	}

	/** A key identifies one caller or target, so it may be set more than once only along one path. */
	#checkUnique(node: TreeNode, key: SettingKey, paths: readonly string[]): void {
		for (const path of paths) {
			if (!isOnSamePath(path, node.path)) {
				this.#addProblem(node, key, `the key is set at ${path} already`, 'Use another key, or unset it there first.');
			}
		}
	}

	/** Checks a node whose residency or home region changed, and its descendants, which may inherit them. */
	#checkRegions(node: TreeNode, inheritedResidency: readonly Region[] | undefined, inheritedHome: Region | undefined): void {
		const residency = (node.own.residency ?? inheritedResidency) as readonly Region[] | undefined;
		const home = (node.own.homeRegion ?? inheritedHome) as Region | undefined;
		if (residency !== undefined && home !== undefined && !residency.includes(home)) {
			this.#addProblem(node, {name: 'homeRegion'}, `the home region ${home} is outside the residency ${residency.join(', ')}`, homeRegionRemedy);
			return;
		}

		for (const subkey of Object.keys(recordOf(node, 'callerKeys'))) {
			this.#checkCallerHomeRegion(node, subkey, residency);
		}

		for (const child of node.children) {
			this.#checkRegions(child, residency, home);
		}
	}

	#checkCallerHomeRegion(node: TreeNode, subkey: string, residency: readonly Region[] | undefined): void {
		const callerKey = recordOf(node, 'callerKeys')[subkey] as CallerKey | undefined;
		const home = callerKey?.homeRegion;
		if (home === undefined) {
			return;
		}

		for (const allowed of [residency, callerKey?.residency]) {
			if (allowed !== undefined && !allowed.includes(home)) {
				this.#addProblem(node, {name: 'callerKeys', subkey}, `the home region ${home} is outside the residency ${allowed.join(', ')}`, homeRegionRemedy);
			}
		}
	}

	#addProblem(node: TreeNode, {name, subkey}: SettingKey, problem: string, remedy: string): void {
		const key = subkey === undefined ? name : `${name}/${subkey}`;
		this.#problems.push({
			path: node.path, key, problem, remedy,
		});
	}
}

function recordOf(node: TreeNode, name: string): Readonly<Record<string, unknown>> {
	return (node.own[name] ?? {}) as Record<string, unknown>;
}

function resolvedValue<Value>(node: TreeNode | undefined, name: string): Value | undefined {
	for (let at = node; at !== undefined; at = at.parent) {
		if (at.own[name] !== undefined) {
			return at.own[name] as Value;
		}
	}

	return undefined;
}

function isOnSamePath(left: string, right: string): boolean {
	return left === right || left.startsWith(`${right}/`) || right.startsWith(`${left}/`);
}

function describe(issue: z.core.$ZodIssue): string {
	return issue.path.length === 0 ? issue.message : `${issue.path.join('.')}: ${issue.message}`;
}
