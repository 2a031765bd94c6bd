/** Command-line options that all kinds of stand-in targets share. */
export type TargetOptions = {
	readonly port: number;
	/** `host:port` that the target announces. */
	readonly address: string;
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	/** `host:port` of the entries' listeners for callers. */
	readonly announceTo: readonly string[];
	/** Key that authenticates the announcements. */
	readonly key: string;
	/** Number of concurrent requests that the target announces; an engine queues those above it. */
	readonly capacity: number;
	/** Path of the run log; none is written if undefined. */
	readonly runLog?: string;
	/** A request that contains this text kills the process during the run; `/test/crash-on` replaces the text. */
	crashOn?: string;
	/** Delay in milliseconds after which each announcement is sent again, to simulate a delayed duplicate on the network; 0 for never. */
	readonly replayAnnouncementsMs: number;
	/** Age of the load figures in announcements, in milliseconds. */
	readonly loadLagMs: number;
	/** Minimum time between the first announcement of "leaving" and the exit, in milliseconds. */
	readonly leaveMs: number;
};
