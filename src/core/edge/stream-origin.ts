import type {SoftwareVersion} from '../ids/software-version.ts';

/** Where the first event of a stream came from; `softwareVersion` is undefined if that is unknown. */
export type StreamOrigin = {readonly softwareVersion?: SoftwareVersion};
