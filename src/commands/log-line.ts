/** One line of a structured log, as far as it can be read back. */
export type LogLine = Readonly<Record<string, unknown>> & {
	/** ISO time of day. */
	readonly time: string;
	readonly node: string;
	readonly msg: string;
	readonly request?: string;
	readonly reason?: string;
};
