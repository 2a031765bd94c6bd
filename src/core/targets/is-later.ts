import type {Announcement} from './announcement.ts';

/** True if `next` supersedes `known`: by incarnation, then sequence; `leaving` is final within one incarnation. */
export function isLater(next: Announcement, known: Announcement): boolean {
	if (next.incarnation !== known.incarnation) {
		return next.incarnation > known.incarnation;
	}

	if (known.state === 'leaving' && next.state !== 'leaving') {
		return false;
	}

	return next.sequence > known.sequence;
}
