import {PolicyClock} from './policy-clock.ts';
import type {PolicyDeployment} from './policy-deployment.ts';
import {PolicyEngine} from './policy-engine.ts';
import {PolicyLoad} from './policy-load.ts';

/** Time before the count starts, so that the cache is filled. */
const warmUpMs = 20_000;

const measuredMs = 60_000;

/**
 * Requests and output tokens a second that each region's engines can do: every engine alone, with its
 * own region's requests and its own cache, always with enough waiting to keep the batch full.
 */
export function policyCapacity(deployment: PolicyDeployment, seed: number, slots: number): ReadonlyArray<{requests: number; tokens: number}> {
	return deployment.regions.map((region, index) => {
		const total = {requests: 0, tokens: 0};
		for (const tokenMs of region.engines) {
			const rate = measureSaturatedEngine(deployment, {
				region: index, seed, tokenMs, slots,
			});
			total.requests += rate.requests;
			total.tokens += rate.tokens;
		}

		return total;
	});
}

function measureSaturatedEngine(deployment: PolicyDeployment, options: {region: number; seed: number; tokenMs: number; slots: number}) {
	const clock = new PolicyClock();
	const load = new PolicyLoad(deployment, options.seed);
	const engine = new PolicyEngine({
		tokenMs: options.tokenMs,
		capacity: options.slots,
		schedule(delayMs, run) {
			clock.scheduleAfter(delayMs, run);
		},
		computed: new Set(),
	});
	let requests = 0;
	let tokens = 0;
	const submit = (): void => {
		const item = load.drawCompletion(options.region, clock.now);
		engine.submit(item.req, item.outputTokens, event => {
			if (event === 'whole') {
				const counts = clock.now > warmUpMs ? 1 : 0;
				requests += counts;
				tokens += counts * item.outputTokens;
				submit();
			}
		});
	};

	for (let index = 0; index < options.slots * 2; index++) {
		submit();
	}

	clock.runUntil(warmUpMs + measuredMs);
	return {requests: requests * 1000 / measuredMs, tokens: tokens * 1000 / measuredMs};
}
