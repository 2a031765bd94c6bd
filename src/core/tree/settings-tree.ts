import type {RoutePath} from '../settings/route-path.ts';
import type {RouteSettings} from '../settings/route-settings.ts';
import type {HistoryEntry} from './history-entry.ts';

/** The settings in force on this node, read-only. */
export interface SettingsTree {
	readonly revision: number;
	/** Settings of a route after inheritance; undefined if a node of the path does not exist. Cached by revision. */
	route(path: RoutePath): RouteSettings | undefined;
	/** Settings of any tree node after inheritance. */
	resolve(path: string): RouteSettings | undefined;
	/** Own (not inherited) settings of a tree node. */
	own(path: string): Readonly<Record<string, unknown>> | undefined;
	/** Paths of all tree nodes, parents before children. */
	paths(): readonly string[];
	/** Newest accepted changes, newest first; bounded. */
	history(limit: number): readonly HistoryEntry[];
	/**
	 * Finds a caller key in the whole tree: the path of the node that sets it
	 * (a firm or a deployment) and its value. Constant time.
	 */
	callerKey(sha256: string): {path: string; key: RouteSettings['callerKeys'][string]} | undefined;
	/** Finds a target key in the whole tree: the path of the node that sets it and its name. Constant time. */
	targetKey(sha256: string): {path: string; name: string} | undefined;
}
