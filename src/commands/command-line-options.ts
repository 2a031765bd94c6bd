/** Options of operators' commands as the command line gives them. */
export type CommandLineOptions = {
	readonly entry?: string | string[];
	readonly keyFile?: string;
	readonly json?: boolean;
	readonly zone?: string;
	readonly resolved?: boolean;
	readonly prune?: boolean;
	readonly changeId?: string | number;
	/** Text if it is no number. */
	readonly number?: number | string;
	/** False with `--no-wait`. */
	readonly wait?: boolean;
};
