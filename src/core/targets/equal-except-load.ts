import type {Announcement} from './announcement.ts';

/** True if nothing but sequence, load and cache events differs: a compact load is enough news. */
export function equalExceptLoad(a: Announcement, b: Announcement): boolean {
	return a.incarnation === b.incarnation
		&& a.state === b.state
		&& a.address === b.address
		&& a.capacity === b.capacity
		&& a.zone === b.zone
		&& a.resumes === b.resumes
		&& a.fencing === b.fencing
		&& a.tokensPerSecond === b.tokensPerSecond
		&& a.prefillTokensPerSecond === b.prefillTokensPerSecond
		&& a.models.join(' ') === b.models.join(' ');
}
