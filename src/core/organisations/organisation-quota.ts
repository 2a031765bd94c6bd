/** What an organisation may send to targets, over all entries. */
export type OrganisationQuota = {
	readonly unit: 'requests' | 'tokens';
	/** Requests or tokens per second; above 0. */
	readonly perSecond: number;
	/** Requests or tokens of one window beyond the rate. */
	readonly burst: number;
	/** Tokens that a request counts as that states no token counts; used with the unit `tokens` only. */
	readonly defaultTokens: number;
};
