/** One line of the structured log. */
export type LogLine = Readonly<Record<string, unknown>> & {
	/** ISO 8601 date and time. */
	readonly time: string;
	readonly node: string;
	readonly msg: string;
	readonly request?: string;
	readonly reason?: string;
};
