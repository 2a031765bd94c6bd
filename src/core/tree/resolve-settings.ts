import {routeDefaults} from '../settings/route-defaults.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import {keyedSettingRules} from './keyed-setting-rules.ts';
import {settingRules} from './setting-rules.ts';
import type {TreeNode} from './tree-node.ts';

type Values = Readonly<Record<string, unknown>>;

/**
 * Resolves the settings of a node by inheritance. A keyed setting that only one node of the path sets
 * is shared with that node, not copied.
 */
export function resolveSettings(node: TreeNode): RouteSettings {
	const settings: Record<string, unknown> = {...routeDefaults};
	for (const at of nodesFromRoot(node)) {
		for (const [name, value] of Object.entries(at.own)) {
			if (Object.hasOwn(keyedSettingRules, name)) {
				settings[name] = mergeRecords(name, settings[name] as Values, value as Values);
			} else if (Object.hasOwn(settingRules, name)) {
				settings[name] = value;
			}
		}
	}

	return settings as RouteSettings;
}

function nodesFromRoot(node: TreeNode): readonly TreeNode[] {
	const path: TreeNode[] = [];
	for (let at: TreeNode | undefined = node; at !== undefined; at = at.parent) {
		path.unshift(at);
	}

	return path;
}

function mergeRecords(name: string, inherited: Values, own: Values): Values {
	if (inherited === routeDefaults[name as keyof RouteSettings]) {
		return own;
	}

	return Object.assign(Object.create(null) as Record<string, unknown>, inherited, own);
}
