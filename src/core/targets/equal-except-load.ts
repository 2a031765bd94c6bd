import type {Announcement} from './announcement.ts';

/**
 * True if at most sequence, load and cache events differ, so that a compact load is enough to update other entries.
 * Firm, deployment, service and kind are not compared.
 */
export function equalExceptLoad(a: Announcement, b: Announcement): boolean {
	return a.incarnation === b.incarnation
		&& a.state === b.state
		&& a.address === b.address
		&& a.capacity === b.capacity
		&& a.zone === b.zone
		&& a.resumes === b.resumes
		&& a.softwareVersion === b.softwareVersion
		&& a.fencing === b.fencing
		&& a.tokensPerSecond === b.tokensPerSecond
		&& a.prefillTokensPerSecond === b.prefillTokensPerSecond
		&& a.models.join(' ') === b.models.join(' ');
}
