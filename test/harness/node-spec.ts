/** One node of an installation under test. */
export type NodeSpec = {
	readonly node: string;
	readonly region: string;
	readonly zone: string;
	readonly roles: ReadonlyArray<'entry' | 'control'>;
	/** Capacity of the node relative to the others. */
	readonly weight: number;
	/** True if the node has a data folder. */
	readonly disk: boolean;
};
