/** One node of an installation under test. */
export type NodeSpec = {
	readonly node: string;
	readonly region: string;
	readonly zone: string;
	readonly roles: ReadonlyArray<'entry' | 'control'>;
	readonly weight: number;
	readonly disk: boolean;
};
