import type {SoftwareVersion} from '../ids/software-version.ts';
import type {AttemptState} from './attempt-state.ts';

/** Software version of the target that an attempt runs on; undefined if it named none, or if the attempt runs through another entry. */
export function softwareVersionOf({destination}: AttemptState): SoftwareVersion | undefined {
	return destination.type === 'target' ? destination.softwareVersion : undefined;
}
