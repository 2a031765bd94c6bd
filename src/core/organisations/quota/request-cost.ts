import type {OrganisationQuota} from '../organisation-quota.ts';
import type {Prompt} from '../../edge/prompt.ts';

/** What a request counts as in the unit of the quota: one, or its prompt and its largest possible output. */
export function requestCost({unit, defaultTokens}: OrganisationQuota, prompt: Prompt | undefined): number {
	if (unit === 'requests') {
		return 1;
	}

	return prompt === undefined ? defaultTokens : prompt.promptTokens + prompt.outputTokens;
}
