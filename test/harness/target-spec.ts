/** One stand-in target of an installation under test. */
export type TargetSpec = {
	readonly id: string;
	readonly kind: 'engine' | 'service';
	readonly region: string;
	readonly zone: string;
	readonly service: string;
	/** Additional command-line options of the stand-in, without the leading dashes. */
	readonly options: Readonly<Record<string, string | number>>;
};
