import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';

/** The service whose target sent the first event of a stream, and that target's software version. */
export type BegunStream = {readonly service: ServiceName; readonly softwareVersion: SoftwareVersion};
