import {KeyIndex} from './key-index.ts';
import {keyedSettingRules} from './keyed-setting-rules.ts';
import type {SettingKey} from './setting-key.ts';
import type {TreeNode} from './tree-node.ts';

type Values = Record<string, unknown>;

/** The nodes of the settings tree with their key indexes; uncommitted steps can be rolled back. */
export class TreeNodeStore {
	readonly callerKeys = new KeyIndex();
	readonly targetKeys = new KeyIndex();
	readonly #nodes = new Map<string, TreeNode>();
	#undoSteps: Array<() => void> = [];

	get(path: string): TreeNode | undefined {
		return this.#nodes.get(path);
	}

	nodes(): IterableIterator<TreeNode> {
		return this.#nodes.values();
	}

	/** Makes the steps taken so far permanent. */
	commit(): void {
		this.#undoSteps = [];
	}

	/** Undoes all steps since the last `commit`. */
	rollback(): void {
		const undo = this.#undoSteps.reverse();
		this.#undoSteps = [];
		for (const step of undo) {
			step();
		}

		// The steps above recorded undo steps of their own.
		this.#undoSteps = [];
	}

	/** Adds a node whose parent exists. */
	create(path: string): void {
		const parent = this.#nodes.get(path.slice(0, Math.max(0, path.lastIndexOf('/'))));
		this.#attach({
			path, depth: path.split('/').length, parent, children: new Set(), own: {},
		});
	}

	/** Removes a node and its descendants. */
	remove(node: TreeNode): void {
		for (const child of node.children) {
			this.remove(child);
		}

		this.#detach(node);
	}

	/** Sets a value; `undefined` unsets it. */
	setValue(node: TreeNode, key: SettingKey, value: unknown): void {
		const values = key.subkey === undefined ? node.own : this.#keyedRecord(node, key.name);
		const name = key.subkey ?? key.name;
		const before = values[name];
		this.#assign(node, key, value);
		this.#undoSteps.push(() => {
			this.#assign(node, key, before);
		});
	}

	/** Restores one node from a snapshot; its parent must exist. */
	restore(path: string, own: Values): void {
		this.create(path);
		const node = this.#nodes.get(path)!;
		for (const [name, value] of Object.entries(own)) {
			node.own[name] = keyedSettingRules[name] === undefined ? value : Object.assign(Object.create(null) as Values, value);
		}

		this.#indexNode(node, 'add');
		this.commit();
	}

	#attach(node: TreeNode): void {
		this.#nodes.set(node.path, node);
		node.parent?.children.add(node);
		this.#indexNode(node, 'add');
		this.#undoSteps.push(() => {
			this.#detach(node);
		});
	}

	#detach(node: TreeNode): void {
		this.#nodes.delete(node.path);
		node.parent?.children.delete(node);
		this.#indexNode(node, 'remove');
		this.#undoSteps.push(() => {
			this.#attach(node);
		});
	}

	#indexNode(node: TreeNode, step: 'add' | 'remove'): void {
		for (const digest of Object.keys(node.own.callerKeys ?? {})) {
			this.callerKeys[step](digest, node.path);
		}

		for (const digest of Object.keys(node.own.targetKeys ?? {})) {
			this.targetKeys[step](digest, node.path);
		}
	}

	#keyedRecord(node: TreeNode, name: string): Values {
		return (node.own[name] ?? {}) as Values;
	}

	#assign(node: TreeNode, {name, subkey}: SettingKey, value: unknown): void {
		if (subkey === undefined) {
			assignValue(node.own, name, value);
			return;
		}

		// A record without prototype, so that no subkey collides with an inherited property.
		node.own[name] ??= Object.create(null) as Values;
		const record = node.own[name] as Values;
		assignValue(record, subkey, value);
		this.#updateIndex(node, {name, subkey}, value !== undefined);
		if (value === undefined && isEmpty(record)) {
			assignValue(node.own, name, undefined);
		}
	}

	#updateIndex(node: TreeNode, {name, subkey}: SettingKey, present: boolean): void {
		if (name !== 'callerKeys' && name !== 'targetKeys') {
			return;
		}

		this[name][present ? 'add' : 'remove'](subkey!, node.path);
	}
}

function assignValue(values: Values, name: string, value: unknown): void {
	if (value === undefined) {
		Reflect.deleteProperty(values, name);
		return;
	}

	values[name] = value;
}

function isEmpty(record: Values): boolean {
	for (const key in record) {
		if (Object.hasOwn(record, key)) {
			return false;
		}
	}

	return true;
}
