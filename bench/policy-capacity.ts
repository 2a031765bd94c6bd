import {PolicyClock} from './policy-clock.ts';
import type {PolicyDeployment} from './policy-deployment.ts';
import {PolicyEngine} from './policy-engine.ts';
import {PolicyLoad} from './policy-load.ts';

/** Time before counting starts, in which the cache fills, in milliseconds. */
const warmUpMs = 20_000;

const measuredMs = 60_000;

/**
 * Measures the capacity of each region's engines in requests and output tokens per second: every engine runs
 * alone on the requests of its region, with its own cache and a queue that always fills the batch.
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
		computedBlocks: new Set(),
	});
	let requests = 0;
	let tokens = 0;
	const submit = (): void => {
		const item = load.drawCompletion(options.region, clock.now);
		engine.submit(item.req, item.outputTokens, event => {
			if (event === 'whole') {
				const increment = clock.now > warmUpMs ? 1 : 0;
				requests += increment;
				tokens += increment * item.outputTokens;
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
