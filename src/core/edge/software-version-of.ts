import type {SoftwareVersion} from '../ids/software-version.ts';
import type {RequestRecord} from './request-record.ts';

/** Software version of the target that an attempt runs on: as control listed it, or, if the attempt was forwarded, as the other entry states it. */
export function softwareVersionOf({softwareVersion, forwardedTo, head}: NonNullable<RequestRecord['running']>): SoftwareVersion | undefined {
	return forwardedTo === undefined ? softwareVersion : head?.softwareVersion;
}
