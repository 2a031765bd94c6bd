import type {TargetView} from '../targets/target-view.ts';
import type {RequestState} from './request-state.ts';

/** True if a target may go on with a request's answer: always if the caller has nothing of it, otherwise only if the target can resume and runs the software version that began the answer. */
export function mayResumeOn({partiallyAnswered, softwareVersion}: RequestState, {announcement}: TargetView): boolean {
	return !partiallyAnswered || (announcement.resumes && announcement.softwareVersion === softwareVersion);
}
