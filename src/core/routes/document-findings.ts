import {contradictingLimits} from './contradicting-limits.ts';
import type {DocumentFinding} from './document-finding.ts';
import {documentProblems} from './document-problems.ts';
import type {RoutesDocument} from './routes-document.ts';
import {unreachableEntries} from './unreachable-entries.ts';

/** What an operator should know of a routes document before sending it, errors first. */
export function documentFindings(document: RoutesDocument): readonly DocumentFinding[] {
	return [
		...documentProblems(document).map((message): DocumentFinding => ({kind: 'error', message})),
		...unreachableEntries(document).map((message): DocumentFinding => ({kind: 'unreachable', message})),
		...contradictingLimits(document).map((message): DocumentFinding => ({kind: 'contradiction', message})),
	];
}
