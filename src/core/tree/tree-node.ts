/** One node of the settings tree. */
export type TreeNode = {
	readonly path: string;
	/** 1 for a firm, 4 for a route. */
	readonly depth: number;
	readonly parent?: TreeNode;
	readonly children: Set<TreeNode>;
	/** Own (not inherited) settings; a keyed setting is a record by subkey. */
	readonly own: Record<string, unknown>;
};
