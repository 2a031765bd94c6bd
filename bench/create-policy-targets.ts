import type {TargetId} from '../src/core/ids/target-id.ts';
import {toId} from '../src/core/ids/to-id.ts';
import type {PolicyClock} from './policy-clock.ts';
import type {PolicyDeployment} from './policy-deployment.ts';
import {PolicyEngine} from './policy-engine.ts';
import type {PolicyTarget} from './policy-target.ts';

/** Maximum number of concurrent requests of one engine and of one plain service. */
const slots = {engines: 16, desk: 8} as const;

/** Creates the engines and plain services of all regions of a deployment. */
export function createPolicyTargets(deployment: PolicyDeployment, clock: PolicyClock): PolicyTarget[] {
	const computedBlocks = new Set<string>();
	return deployment.regions.flatMap((region, index) => {
		const create = (service: PolicyTarget['service'], tokenMs: number, nth: number): PolicyTarget => ({
			targetId: toId<TargetId>(`${region.name}-${service === 'engines' ? 'engine' : 'desk'}-${nth}`),
			region: index,
			service,
			engine: new PolicyEngine({
				tokenMs,
				capacity: slots[service],
				schedule(delayMs, run) {
					clock.scheduleAfter(delayMs, run);
				},
				computedBlocks,
			}),
			sequence: 0,
		});
		return [
			...region.engines.map((tokenMs, nth) => create('engines', tokenMs, nth)),
			...region.services.map((callMs, nth) => create('desk', callMs, nth)),
		];
	});
}
