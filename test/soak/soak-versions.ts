import type {SoakService} from './soak-service.ts';

/** Number of versions for which an added route stays. */
const keptVersions = 20;
/** Number of successive versions that lead the moved route to the same service. */
const versionsPerMove = 4;

/** What the versions of a soak's configuration differ in, as callers can see it. */
export const soakVersions = {
	movedPath: '/moved/',
	/** Path of a route that only invalid configurations have. */
	invalidPath: '/invalid/',
	/** Path of the route that a version adds. */
	addedPath: (version: number): string => `/added/${version}/`,
	/** Versions whose added routes are in a version, oldest first. */
	addedIn: (version: number): readonly number[] => Array.from({length: Math.min(version, keptVersions)}, (_, index) => version - index).reverse(),
	/** First version that does not have the route added by a version any more. */
	droppedIn: (added: number): number => added + keptVersions,
	movedTo: (version: number): SoakService => Math.floor(version / versionsPerMove) % 2 === 0 ? 'desk' : 'press',
	/** Timeout of the moved route, in milliseconds. */
	movedTimeoutMs: (version: number): number => 2000 + (100 * (version % versionsPerMove)),
} as const;
