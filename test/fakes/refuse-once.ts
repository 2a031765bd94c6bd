import type {RefusalPlan} from './refusal-plan.ts';

/** Time between the arrival of a request and the copy of its earlier refusal, in milliseconds. */
const copyDelayMs = 5;

/** Plans to refuse each request once, by its identifier, and to write the refusal once more if the request comes again on the same connection, where it runs. */
export function refuseOnce(status: RefusalPlan['status'] = 503): (id: string) => RefusalPlan | undefined {
	const refused = new Set<string>();
	return id => {
		if (refused.has(id)) {
			return undefined;
		}

		refused.add(id);
		return {
			status, body: '', copies: {
				when: 'again', count: 1, delayMs: copyDelayMs, parts: 1,
			},
		};
	};
}
