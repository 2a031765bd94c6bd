import type {PolicyDeployment} from './policy-deployment.ts';

/** Both deployments with their engine counts; engine speeds differ by a factor of ten and are assigned to the regions in turn. */
export const policyDeployments: readonly PolicyDeployment[] = [
	{
		name: 'prairie',
		regions: [
			{
				name: 'regina-a', entries: 3, engines: [5, 23, 34], services: [20],
			},
			{
				name: 'saskatoon-a', entries: 2, engines: [7.3, 50], services: [30],
			},
			{
				name: 'winnipeg-a', entries: 2, engines: [10.8, 15.8], services: [40],
			},
		],
		awayPenaltyMs: 1000,
		deadlineMs: 10_000,
		bodyBytes: 16_000,
		shortTokens: 120,
		longTokens: 400,
		longShare: 0.2,
		maxBriefBlocks: 24,
		roundTripMs: 60,
	},
	{
		name: 'bustan',
		regions: [
			{
				name: 'muscat-a', entries: 2, engines: [5, 12.8, 18.8, 34, 50], services: [20],
			},
			{
				name: 'sohar-a', entries: 2, engines: [6.1, 10.8, 23, 41], services: [30],
			},
			{
				name: 'salalah-a', entries: 2, engines: [7.3, 8.9, 15.8, 28], services: [40],
			},
		],
		awayPenaltyMs: 15_000,
		deadlineMs: 10_000,
		bodyBytes: 6000,
		shortTokens: 60,
		longTokens: 600,
		longShare: 0.15,
		maxBriefBlocks: 12,
		roundTripMs: 60,
	},
];
