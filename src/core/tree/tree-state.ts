import type {RoutePath} from '../settings/route-path.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {Change} from './change.ts';
import {ChangeHistory} from './change-history.ts';
import type {HistoryEntry} from './history-entry.ts';
import {keyedSettingRules} from './keyed-setting-rules.ts';
import {TreeNodeStore} from './tree-node-store.ts';
import {OperationApplier} from './operation-applier.ts';
import {resolveSettings} from './resolve-settings.ts';
import type {SettingsTree} from './settings-tree.ts';
import type {TreeProblem} from './tree-problem.ts';
import type {TreeSnapshot} from './tree-snapshot.ts';
import {TreeValidator} from './tree-validator.ts';

/** The settings tree in memory: a change is applied in place, and rolled back if its result is not valid. */
export class TreeState implements SettingsTree {
	#revision = 0;
	#store = new TreeNodeStore();
	#validator = new TreeValidator(this.#store);
	#paths: readonly string[] | undefined;
	readonly #history = new ChangeHistory();
	/** Cache of resolved settings by path, for the current revision. */
	readonly #resolved = new Map<string, RouteSettings>();

	get revision(): number {
		return this.#revision;
	}

	/** Applies the change with the next number. Returns all problems found; if there are any, the tree is unchanged. */
	apply(change: Change): readonly TreeProblem[] {
		const applier = this.#applyOperations(change);
		const problems = [...applier.problems, ...this.#validator.validate(applier.touched)];
		if (problems.length > 0) {
			this.#store.rollback();
			return problems;
		}

		this.#commit(change);
		return [];
	}

	/** Applies a change that the replicated log has accepted, without validating it again. */
	applyAccepted(change: Change): void {
		this.#applyOperations(change);
		this.#commit(change);
	}

	/** Advances to the revision of another tree that is ahead; values are shared, not copied. */
	advanceTo(other: TreeState): void {
		const changes = other.changesSince(this.#revision);
		if (changes === undefined) {
			this.restore(other.snapshot());
			return;
		}

		for (const change of changes) {
			this.applyAccepted(change);
		}
	}

	route({firm, deployment, service, route}: RoutePath): RouteSettings | undefined {
		return this.resolve(`${firm}/${deployment}/${service}/${route}`);
	}

	resolve(path: string): RouteSettings | undefined {
		const known = this.#resolved.get(path);
		if (known !== undefined) {
			return known;
		}

		const node = this.#store.get(path);
		if (node === undefined) {
			return undefined;
		}

		const settings = resolveSettings(node);
		this.#resolved.set(path, settings);
		return settings;
	}

	own(path: string): Readonly<Record<string, unknown>> | undefined {
		return this.#store.get(path)?.own;
	}

	paths(): readonly string[] {
		this.#paths ??= [...this.#store.nodes()].map(node => node.path).sort(comparePaths);
		return this.#paths;
	}

	history(limit: number): readonly HistoryEntry[] {
		return this.#history.newest(limit);
	}

	/** Accepted changes after a revision, oldest first; undefined if some of them are no longer kept. */
	changesSince(revision: number): readonly Change[] | undefined {
		return revision === this.#revision ? [] : this.#history.since(revision);
	}

	/** The accepted change with this number, if it is still kept. */
	acceptedChange(revision: number): Change | undefined {
		return this.#history.at(revision)?.change;
	}

	callerKey(sha256: string): {path: string; key: RouteSettings['callerKeys'][string]} | undefined {
		const path = this.#store.callerKeys.topmostPath(sha256);
		if (path === undefined) {
			return undefined;
		}

		const keys = this.#store.get(path)!.own.callerKeys as RouteSettings['callerKeys'];
		return {path, key: keys[sha256]!};
	}

	targetKey(sha256: string): {path: string; name: string} | undefined {
		const path = this.#store.targetKeys.topmostPath(sha256);
		if (path === undefined) {
			return undefined;
		}

		const keys = this.#store.get(path)!.own.targetKeys as RouteSettings['targetKeys'];
		return {path, name: keys[sha256]!.name};
	}

	snapshot(): TreeSnapshot {
		const nodes = this.paths().map(path => ({path, own: copyOwn(this.#store.get(path)!.own)}));
		return {revision: this.#revision, nodes, history: this.#history.all()};
	}

	restore(snapshot: TreeSnapshot): void {
		this.#store = new TreeNodeStore();
		this.#validator = new TreeValidator(this.#store);
		for (const {path, own} of snapshot.nodes) {
			this.#store.restore(path, own);
		}

		this.#history.restore(snapshot.history);
		this.#revision = snapshot.revision;
		this.#clearCaches();
	}

	#applyOperations(change: Change): OperationApplier {
		const applier = new OperationApplier(this.#store);
		for (const operation of change.operations) {
			applier.apply(operation);
		}

		return applier;
	}

	#commit(change: Change): void {
		this.#store.commit();
		this.#history.add(change);
		this.#revision = change.number;
		this.#clearCaches();
	}

	#clearCaches(): void {
		this.#resolved.clear();
		this.#paths = undefined;
	}
}

/** Copies the records, which later changes modify in place; the values in them are never modified. */
function copyOwn(own: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const copy: Record<string, unknown> = {};
	for (const [name, value] of Object.entries(own)) {
		copy[name] = Object.hasOwn(keyedSettingRules, name) ? {...value as Record<string, unknown>} : value;
	}

	return copy;
}

function comparePaths(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
