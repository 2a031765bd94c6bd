/** One step of a random schedule of faults and operators' calls. */
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
	| {readonly type: 'crash' | 'start' | 'freeze' | 'thaw' | 'lose-disk'; readonly node: number; readonly survivors: number};
