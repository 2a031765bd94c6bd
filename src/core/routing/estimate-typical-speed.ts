import type {Candidate} from './candidate.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Speeds assumed while no target of the service has a measured one. */
const defaultSpeed: TypicalSpeed = {tokenMs: 30, callMs: 100};

/** Mean measured speeds of a service's targets, used for targets without a measurement. */
export function estimateTypicalSpeed(candidates: readonly Candidate[]): TypicalSpeed {
	return {
		tokenMs: mean(candidates.map(({target}) => target.tokenMs)) ?? defaultSpeed.tokenMs,
		callMs: mean(candidates.map(({target}) => target.callMs)) ?? defaultSpeed.callMs,
	};
}

function mean(values: ReadonlyArray<number | undefined>): number | undefined {
	let sum = 0;
	let count = 0;
	for (const value of values) {
		if (value !== undefined) {
			sum += value;
			count += 1;
		}
	}

	return count > 0 ? sum / count : undefined;
}
