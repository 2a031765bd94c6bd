import type {TreeOperation} from '../core/tree/tree-operation.ts';

const keyedSettings = new Set(['callerKeys', 'targetKeys', 'models']);

/** Operations that change the current tree into the wanted one. Nodes and settings that are not in the wanted tree are removed only with `prune`. */
export function treeDifference(
	current: ReadonlyArray<{path: string; settings: Record<string, unknown>}>,
	wanted: Readonly<Record<string, Readonly<Record<string, unknown>> | null>>,
	prune: boolean,
): TreeOperation[] {
	const known = new Map(current.map(node => [node.path, flatten(node.settings)]));
	const operations: TreeOperation[] = [];
	for (const path of Object.keys(wanted).toSorted(compareByDepth)) {
		const currentSettings = known.get(path);
		if (!currentSettings) {
			operations.push({op: 'create', path});
		}

		operations.push(...settingOperations(path, currentSettings ?? new Map<string, unknown>(), flatten(wanted[path] ?? {}), prune));
	}

	return prune ? [...operations, ...deletions(known.keys(), wanted)] : operations;
}

function settingOperations(path: string, currentSettings: Map<string, unknown>, wanted: Map<string, unknown>, prune: boolean): TreeOperation[] {
	const sets = [...wanted]
		.filter(([key, value]) => JSON.stringify(currentSettings.get(key)) !== JSON.stringify(value))
		.map(([key, value]): TreeOperation => ({
			op: 'set', path, key, value,
		}));
	const unsets = [...currentSettings.keys()]
		.filter(key => prune && !wanted.has(key))
		.map((key): TreeOperation => ({op: 'unset', path, key}));
	return [...sets, ...unsets];
}

function deletions(paths: Iterable<string>, wanted: Readonly<Record<string, unknown>>): TreeOperation[] {
	return [...paths]
		.filter(path => !(path in wanted))
		.toSorted((left, right) => compareByDepth(right, left))
		.map(path => ({op: 'delete', path}));
}

/** Flattens settings to one entry per key; a keyed setting becomes one entry per subkey, as `key/subkey`. */
function flatten(settings: Readonly<Record<string, unknown>>): Map<string, unknown> {
	const flat = new Map<string, unknown>();
	for (const [key, value] of Object.entries(settings)) {
		if (!keyedSettings.has(key)) {
			flat.set(key, value);
			continue;
		}

		for (const [subkey, subvalue] of Object.entries(value as Record<string, unknown>)) {
			flat.set(`${key}/${subkey}`, subvalue);
		}
	}

	return flat;
}

function compareByDepth(left: string, right: string): number {
	return left.split('/').length - right.split('/').length || (left < right ? -1 : 1);
}
