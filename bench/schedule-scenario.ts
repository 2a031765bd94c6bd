import type {PolicyClock} from './policy-clock.ts';
import type {PolicyScenario} from './policy-scenario.ts';
import type {PolicyTarget} from './policy-target.ts';

/** Slowdown of the engine in the scenario slow-engine. */
const slowdownFactor = 10;

/** Schedules the faults of a scenario for the engines of the first region. */
export function scheduleScenario(targets: readonly PolicyTarget[], options: {scenario: PolicyScenario; durationMs: number; clock: PolicyClock}): void {
	const {scenario, durationMs, clock} = options;
	const engines = targets.filter(({region, service}) => region === 0 && service === 'engines').map(({engine}) => engine);
	switch (scenario.name) {
		case 'slow-engine': {
			clock.scheduleAfter(durationMs / 4, () => {
				engines[0]!.slowdownFactor = slowdownFactor;
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
				clock.scheduleAfter(durationMs / 3, () => {
					engine.crash();
				});
				clock.scheduleAfter(durationMs / 2, () => {
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
