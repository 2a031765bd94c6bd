/** What every stand-in target is started with. */
export type TargetOptions = {
	readonly port: number;
	/** Address that it announces. */
	readonly address: string;
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	/** Entries' callers addresses. */
	readonly announceTo: readonly string[];
	readonly key: string;
	readonly capacity: number;
	readonly runLog?: string;
	/** Content that makes the process exit in the middle of the run. */
	crashOn?: string;
	/** Sends each announcement a second time after this delay, as if the network had kept it; 0 for never. */
	readonly replayAnnouncementsMs: number;
	/** Age of the load figures in announcements, in milliseconds. */
	readonly loadLagMs: number;
	/** Shortest time between the first "leaving" and the exit, in milliseconds. */
	readonly leaveMs: number;
};
