/** Exit codes of the command line; documented in `docs/OPERATIONS.md`. */
export const exitCodes = {
	ok: 0,
	/** The command could not be carried out. */
	failed: 1,
	/** Wrong arguments or a settings file with problems. */
	usage: 2,
	/** The change was refused: another one has its number, or the settings would not be valid. */
	refused: 3,
	/** Accepted, but not yet in force in every reachable region. */
	notInForce: 4,
	/** No entry could be reached, or the control members have no quorum. */
	unavailable: 5,
	/** The data folder is damaged, full or used by another process. */
	dataFolder: 6,
	/** An address of the settings cannot be listened on. */
	listen: 7,
} as const;
