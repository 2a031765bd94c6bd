import type {OrganisationQuota} from '../organisation-quota.ts';
import type {QuotaBounds} from './quota-bounds.ts';

const secondMs = 1000;
/** Share of the tolerance up to which any is served: requests that move to other entries count twice until the next reports. */
const limitTolerance = 0.65;

type QuotaAllowance = {
	/** What the organisation is entitled to. */
	readonly quota: number;
	/** What it gets if it asks for more: the whole tolerance is left to late reports, as of entries without processor time. */
	readonly target: number;
	/** What it may reach by the estimates of entries. */
	readonly limit: number;
	/** What must not be exceeded. */
	readonly bound: number;
};

/** Units that an organisation may use in one window. */
export function quotaAllowance({unit, perSecond, burst}: OrganisationQuota, {windowMs, overage, slack}: QuotaBounds): QuotaAllowance {
	const quota = (perSecond * windowMs / secondMs) + burst;
	const bound = (quota * (1 + overage)) + (unit === 'tokens' ? slack : 0);
	const tolerance = bound - quota;
	return {
		quota, target: quota, limit: quota + (limitTolerance * tolerance), bound,
	};
}
