import type {Millis} from '../ids/millis.ts';
import type {RequestRecord} from './request-record.ts';

/**
 * Time since which two attempts of a request are known to be at work at once: the first sign of one of them that came
 * while another one, sent before, was in progress. Undefined if there was none: an attempt without a sign may never
 * have reached its target.
 */
export function overlapStart({running, kept}: Pick<RequestRecord, 'running' | 'kept'>): Millis | undefined {
	if (running === undefined || kept.length === 0) {
		return undefined;
	}

	const attempts = [running, ...kept];
	const signs = attempts.flatMap(({workingSince: at}, index) => at !== undefined && attempts.some(({sentAt}, other) => other !== index && sentAt <= at) ? [at] : []);
	return signs.length === 0 ? undefined : Math.min(...signs) as Millis;
}
