/** One step of a random schedule of faults and operators' calls; nodes are named by the machine that they run on. */
export type ScheduleStep =
	| {readonly type: 'run'; readonly ms: number}
	/** Sends a document whose version is higher by `ahead` than that of the last one sent. */
	| {readonly type: 'document'; readonly node: number; readonly ahead: number}
	| {readonly type: 'evacuation'; readonly node: number; readonly zone: number; readonly active: boolean}
	| {readonly type: 'read'; readonly node: number}
	| {readonly type: 'links'; readonly loss: number; readonly duplicates: number}
	| {readonly type: 'cut'; readonly nodes: readonly number[]; readonly direction: 'both' | 'in' | 'out'}
	/** Restores all cut links. */
	| {readonly type: 'join'}
	/** Writes of the node fail, until its disk has room again. */
	| {readonly type: 'disk'; readonly node: number; readonly full: boolean}
	/** `survivors` is the number of unsynced writes that reach the disk all the same. */
	| {readonly type: 'power-cut'; readonly survivors: number; readonly lost: readonly number[]}
	/** A node goes for good and another one takes its place. */
	| {
		readonly type: 'replace';
		readonly node: number;
		/** Whether the node that was started last goes instead. */
		readonly again: boolean;
		/** Whether the node goes as soon as it may, or one that is lost already goes in its place. */
		readonly waits: boolean;
		/** Time for which the node runs beside its successor, in milliseconds; undefined if it goes first. */
		readonly plannedMs?: number;
		/** Time from the end of a node that goes first to the start of its successor, in milliseconds. */
		readonly afterMs: number;
		/** Age of the list of nodes that the successor's seeds are from, in milliseconds. */
		readonly seedAgeMs: number;
		/** Place of the first of the seeds in the list. */
		readonly firstSeed: number;
	}
	| {readonly type: 'crash' | 'start' | 'freeze' | 'thaw' | 'lose-disk'; readonly node: number; readonly survivors: number};
