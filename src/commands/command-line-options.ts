/** Options of operator commands as parsed from the command line. */
export type CommandLineOptions = {
	readonly entry?: string | string[];
	readonly keyFile?: string;
	readonly json?: boolean;
	/** File or address of the document to compare with. */
	readonly against?: string;
	readonly zone?: string;
	readonly resolved?: boolean;
	readonly prune?: boolean;
	readonly changeId?: string | number;
	/** Revision that the change is to get; a string if the argument is not a number. */
	readonly number?: number | string;
	/** False with `--no-wait`. */
	readonly wait?: boolean;
};
