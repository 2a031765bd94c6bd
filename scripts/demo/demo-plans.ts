import type {DemoPlan} from './demo-plan.ts';

/** Current sizes of both deployments, as in the examples folder. */
export const demoPlans: Readonly<Record<string, DemoPlan>> = {
	prairie: {
		firm: 'prairie',
		deployment: 'print',
		examples: 'examples/prairie',
		nodes: ['regina-1', 'regina-2', 'regina-3', 'saskatoon-1', 'saskatoon-2', 'winnipeg-1', 'winnipeg-2'],
		engine: {
			service: 'proofer',
			model: 'proof-writer',
			zones: ['regina-a-1', 'regina-a-2', 'regina-a-1', 'saskatoon-a-1', 'saskatoon-a-2', 'winnipeg-a-1', 'winnipeg-a-2'],
			prompt: 'Draft a proof report for the road-closure board of the bridge.',
		},
		plainService: {
			service: 'pressdesk', zones: ['regina-a-1', 'saskatoon-a-1', 'winnipeg-a-1'], onceRoute: 'orders', boundRoute: 'ballots',
		},
		boundRegion: 'winnipeg-a',
	},
	bustan: {
		firm: 'bustan',
		deployment: 'shops',
		examples: 'examples/bustan',
		nodes: ['muscat-1', 'muscat-2', 'sohar-1', 'sohar-2', 'salalah-1', 'salalah-2'],
		engine: {
			service: 'lovage-writers',
			model: 'flavour-writer',
			zones: [
				'muscat-a-1',
				'muscat-a-2',
				'muscat-a-1',
				'muscat-a-2',
				'muscat-a-1',
				'sohar-a-1',
				'sohar-a-2',
				'sohar-a-1',
				'sohar-a-2',
				'salalah-a-1',
				'salalah-a-2',
				'salalah-a-1',
				'salalah-a-2',
			],
			prompt: 'Draft a flavour profile of bitter orange marmalade for the franchise menu.',
		},
		plainService: {
			service: 'jar-desk', zones: ['muscat-a-1', 'sohar-a-1', 'salalah-a-1'], onceRoute: 'renewals', boundRoute: 'subscribers',
		},
		boundRegion: 'salalah-a',
	},
};
