import type {Millis} from '../ids/millis.ts';
import type {RequestInfo} from '../settings/request-info.ts';
import {partFingerprint} from './part-fingerprint.ts';
import type {PoisonGuard} from './poison-guard.ts';

/** How a request may run: refused if a part of its prompt is, else as the request itself. */
export function classifyRequest(poison: PoisonGuard, req: RequestInfo, now: Millis): ReturnType<PoisonGuard['classify']> {
	for (const digest of req.promptParts) {
		const classification = poison.classify(partFingerprint.of(digest), now);
		if (classification.type === 'refused') {
			return classification;
		}
	}

	return poison.classify(req.fingerprint, now);
}
