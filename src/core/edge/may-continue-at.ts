import type {SoftwareVersion} from '../ids/software-version.ts';
import type {StreamOrigin} from './stream-origin.ts';

/**
 * True if a target of a software version may get a request. What two versions write does not fit together, so a stream
 * that has begun goes on only at the version that began it; one of unknown origin goes on nowhere.
 */
export function mayContinueAt(origin: StreamOrigin | undefined, softwareVersion: SoftwareVersion): boolean {
	return origin === undefined || (origin.softwareVersion !== undefined && origin.softwareVersion === softwareVersion);
}
