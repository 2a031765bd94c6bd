import type {HistoryEntry} from './history-entry.ts';

/** The settings tree as plain data; parents come before children. */
export type TreeSnapshot = {
	readonly revision: number;
	readonly nodes: ReadonlyArray<{readonly path: string; readonly own: Readonly<Record<string, unknown>>}>;
	readonly history: readonly HistoryEntry[];
};
