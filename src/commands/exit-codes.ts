/** Exit codes of the command line; documented in `docs/OPERATIONS.md`. */
export const exitCodes = {
	ok: 0,
	/** The command could not be carried out. */
	failed: 1,
	/** Invalid arguments or an invalid settings file. */
	usage: 2,
	/** The change was refused: another change has its number, or the resulting settings would be invalid. */
	refused: 3,
	/** Accepted, but not yet in force in every reachable region. */
	notInForce: 4,
	/** No entry could be reached, or the control members have no quorum. */
	unavailable: 5,
	/** The data folder is damaged, used by another process, or cannot be used. */
	dataFolder: 6,
	/** The process cannot listen on an address of its settings. */
	listen: 7,
	/** The document is valid, but has entries without effect or limits that contradict each other. */
	findings: 8,
} as const;
