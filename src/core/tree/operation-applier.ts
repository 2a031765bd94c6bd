import {validateSettingKey} from './validate-setting-key.ts';
import {keyedSettingRules} from './keyed-setting-rules.ts';
import type {TreeNodeStore} from './tree-node-store.ts';
import {parseSettingKey} from './parse-setting-key.ts';
import type {SettingKey} from './setting-key.ts';
import type {TouchedSettings} from './touched-settings.ts';
import type {TreeOperation} from './tree-operation.ts';
import type {TreeProblem} from './tree-problem.ts';

const pathPattern = /^[a-z\d][\w.-]{0,62}(?:\/[a-z\d][\w.-]{0,62}){0,3}$/i;
const missingNodeProblem = 'there is no such node';

/** Applies the operations of one change to the nodes, and collects a problem for each that cannot be applied. */
export class OperationApplier {
	readonly problems: TreeProblem[] = [];
	readonly touched: TouchedSettings = new Map();
	readonly #store: TreeNodeStore;

	constructor(store: TreeNodeStore) {
		this.#store = store;
	}

	apply(operation: TreeOperation): void {
		switch (operation.op) {
			case 'create': {
				this.#create(operation.path);
				return;
			}

			case 'delete': {
				this.#delete(operation.path, operation.recursive ?? false);
				return;
			}

			case 'set': {
				this.#set(operation.path, operation.key, operation.value);
				return;
			}

			case 'unset': {
				this.#unset(operation.path, operation.key);
			}
		}
	}

	#create(path: string): void {
		if (!pathPattern.test(path)) {
			this.#addProblem(path, 'the path is not valid', 'Use one to four names of letters, digits, dots, dashes or underscores, parted by slashes.');
			return;
		}

		if (this.#store.get(path) !== undefined) {
			this.#addProblem(path, 'the node exists already', 'Leave the operation out.');
			return;
		}

		const slash = path.lastIndexOf('/');
		if (slash !== -1 && this.#store.get(path.slice(0, slash)) === undefined) {
			this.#addProblem(path, 'the parent node does not exist', 'Create the parent first.');
			return;
		}

		this.#store.create(path);
		this.#markTouched(path);
	}

	#delete(path: string, recursive: boolean): void {
		const node = this.#store.get(path);
		if (node === undefined) {
			this.#addProblem(path, missingNodeProblem, 'Check the path, or leave the operation out.');
			return;
		}

		if (node.children.size > 0 && !recursive) {
			this.#addProblem(path, `the node has ${node.children.size} children`, 'Delete the children first, or set recursive to true.');
			return;
		}

		this.#store.remove(node);
	}

	#set(path: string, key: string, value: unknown): void {
		const node = this.#store.get(path);
		if (node === undefined) {
			this.#addProblem(path, missingNodeProblem, 'Create the node first.', key);
			return;
		}

		if (value === undefined || value === null) {
			this.#addProblem(path, 'the value is missing', 'Give a value, or use unset to inherit again.', key);
			return;
		}

		const parsed = parseSettingKey(key);
		const invalid = validateSettingKey(parsed, node.depth);
		if (invalid !== undefined) {
			this.#addProblem(path, invalid.problem, invalid.remedy, key);
			return;
		}

		this.#store.setValue(node, parsed, value);
		this.#markTouched(path, parsed);
	}

	#unset(path: string, key: string): void {
		const node = this.#store.get(path);
		const parsed = parseSettingKey(key);
		if (parsed.subkey === undefined && keyedSettingRules[parsed.name] !== undefined) {
			this.#addProblem(path, 'the setting has subkeys', `Unset ${parsed.name}/<subkey>, one at a time.`, key);
			return;
		}

		if (node === undefined || !isSet(node.own, parsed)) {
			this.#addProblem(path, node === undefined ? missingNodeProblem : 'the setting is not set at this node', 'Leave the operation out.', key);
			return;
		}

		this.#store.setValue(node, parsed, undefined);
		this.#markTouched(path, parsed);
	}

	#markTouched(path: string, key?: SettingKey): void {
		const keys = this.touched.get(path) ?? [];
		if (key !== undefined) {
			keys.push(key);
		}

		this.touched.set(path, keys);
	}

	#addProblem(path: string, problem: string, remedy: string, key?: string): void {
		this.problems.push({
			path, ...(key === undefined ? {} : {key}), problem, remedy,
		});
	}
}

function isSet(own: Readonly<Record<string, unknown>>, {name, subkey}: SettingKey): boolean {
	if (subkey === undefined) {
		return own[name] !== undefined;
	}

	return (own[name] as Record<string, unknown> | undefined)?.[subkey] !== undefined;
}
