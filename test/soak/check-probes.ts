import type {ProbeRecord} from './probe-record.ts';
import {soakVersions} from './soak-versions.ts';

/** Least number of probes of added routes, and share of the other requests' served share, for the check of added routes. */
const addedRoutesThreshold = 20;
const minAddedShare = 0.25;

/**
 * Checks what entries had in force against the acknowledged and the sent versions; returns a message for each violation.
 *
 * @param servedShare - Share of the requests on the first routes that were served.
 */
export function checkProbes(records: readonly ProbeRecord[], servedShare: number): string[] {
	const problems = records.flatMap(record => {
		const problem = problemOf(record);
		const since = record.shown > record.due ? 'shown before' : 'acknowledged in time';
		return problem === undefined ? [] : [`${record.entry} at ${Math.round(record.sentAt)} ms, version ${oldestAllowed(record)} ${since}, ${record.newestSent} sent: ${problem}`];
	});
	const added = records.filter(({asked, calm, due}) => calm && typeof asked === 'object' && asked.added <= due);
	const addedShare = added.filter(({status}) => status === 200).length / added.length;
	if (added.length >= addedRoutesThreshold && addedShare < minAddedShare * servedShare) {
		problems.push(`${addedShare.toFixed(2)} of ${added.length} requests on added routes were served, ${servedShare.toFixed(2)} of the others`);
	}

	return problems;
}

function oldestAllowed({due, shown}: ProbeRecord): number {
	return Math.max(due, shown);
}

/** What is wrong with an answer that no version allows from the oldest one that the entry may have in force to the newest one that was sent; undefined if some version allows it. */
function problemOf(record: ProbeRecord): string | undefined {
	const {asked, newestSent, status, servedBy} = record;
	const oldest = oldestAllowed(record);
	if (asked === 'invalid') {
		return servedBy === undefined ? undefined : 'the route of an invalid configuration is served';
	}

	if (asked === 'moved') {
		const services = new Set(Array.from({length: newestSent - oldest + 1}, (_, index) => soakVersions.movedTo(oldest + index)));
		const isAllowed = oldest === 0 || (status !== 404 && (servedBy === undefined || services.has(servedBy)));
		return isAllowed ? undefined : `the moved route gave ${status} from ${servedBy}, ${[...services].join(', ')} allowed`;
	}

	const droppedIn = soakVersions.droppedIn(asked.added);
	if (status === 404 && oldest >= asked.added && newestSent < droppedIn) {
		return `the route added in version ${asked.added} is refused with 404`;
	}

	if (servedBy !== undefined && oldest >= droppedIn) {
		return `the route added in version ${asked.added} and dropped in ${droppedIn} is served`;
	}

	return undefined;
}
