import type {TargetRun} from '../fakes/target-run.ts';
import type {RefusedSending} from './refused-sending.ts';

type Request = {
	readonly id: string;
	readonly name: string;
	/** Sendings that were refused as not run; they are the first ones of the request. */
	readonly refused: readonly RefusedSending[];
	readonly runs: ReadonlyArray<Pick<TargetRun, 'sending'> & {readonly target: string}>;
};

/** A message for each sending that was refused as not run, and ran, before or after the refusal; a run that names no sending counts for each of them. */
export function refusedAndRun({id, name, refused, runs}: Request): string[] {
	return refused.flatMap(({entry, status, sentAt}, index) => {
		const ran = runs.filter(run => run.sending === undefined || run.sending === index + 1);
		const at = `sending ${index + 1} at ${entry}, from ${Math.round(sentAt)} ms`;
		return ran.length === 0 ? [] : [`${name} ${id} was refused with ${status}, but it ran at ${ran.map(({target}) => target).join(', ')} (${at})`];
	});
}
