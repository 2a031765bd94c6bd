/** Longest pauses between events that the routes of long streams declare, in milliseconds; the stall timeout is two and a half times that, and 400 ms at least. */
const gapsMs = [120, 300, 600] as const;
const stallFactor = 2.5;
const leastStallMs = 400;
const timeoutMs = 12_000;

/** Long streams of a soak, which pause in the middle for about the stall timeout of their routes. */
export const soakStreams = {
	timeoutMs,
	eventCount: 40,
	paths: gapsMs.map(gapMs => `/long/${gapMs}/`),
	/** Time without an event after which an entry may send a stream of a path elsewhere, in milliseconds. */
	stallMs: (path: string): number => Math.max(leastStallMs, stallFactor * Number(path.split('/')[2])),
	routes: gapsMs.map(gapMs => ({
		name: `long-${gapMs}`, host: 'prairie.example', 'path-prefix': `/long/${gapMs}/`, kind: 'streaming', service: 'writers',
		'timeout-ms': timeoutMs, 'target-latency-ms': 1000, 'target-gap-ms': gapMs, attempts: 3, resumable: true,
	})),
} as const;
