import type {PolicyClock} from './policy-clock.ts';
import type {PolicyScenario} from './policy-scenario.ts';
import type {PolicyTarget} from './policy-target.ts';

/** How much slower the slow engine gets. */
const slowness = 10;

/** Plans what a scenario does to the engines of the first region. */
export function disturbPolicyTargets(targets: readonly PolicyTarget[], options: {scenario: PolicyScenario; durationMs: number; clock: PolicyClock}): void {
	const {scenario, durationMs, clock} = options;
	const engines = targets.filter(({region, service}) => region === 0 && service === 'engines').map(({engine}) => engine);
	switch (scenario.name) {
		case 'slow-engine': {
			clock.after(durationMs / 4, () => {
				engines[0]!.slowness = slowness;
			});
			break;
		}

		case 'half-region': {
			for (const engine of engines) {
				engine.capacity /= 2;
			}

			break;
		}

		case 'returning-region': {
			for (const engine of engines) {
				clock.after(durationMs / 3, () => {
					engine.crash();
				});
				clock.after(durationMs / 2, () => {
					engine.up = true;
				});
			}

			break;
		}

		case 'steady': {
			break;
		}
	}
}
