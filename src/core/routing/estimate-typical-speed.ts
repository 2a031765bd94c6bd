import type {Candidate} from './candidate.ts';
import type {TypicalSpeed} from './typical-speed.ts';

/** Speeds assumed while no target of a service was learnt. */
const defaultSpeed: TypicalSpeed = {tokenMs: 30, callMs: 100};

/** The means of what was learnt of the other targets, for those that nothing was learnt of. */
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
