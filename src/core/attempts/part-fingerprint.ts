import type {RequestInfo} from '../settings/request-info.ts';

const prefix = 'part:';

/** Fingerprints of parts of prompts, which are kept beside those of whole requests. */
export const partFingerprint = {
	of: (digest: string): string => `${prefix}${digest}`,
	is: (fingerprint: string): boolean => fingerprint.startsWith(prefix),
	/** Fingerprints of all that a request may be blamed for: itself, and the parts of its prompt that others may have too. */
	allOf: ({fingerprint, promptParts}: RequestInfo): readonly string[] => [fingerprint, ...promptParts.map(digest => `${prefix}${digest}`)],
} as const;
