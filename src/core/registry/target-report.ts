import type {ServiceName} from '../ids/service-name.ts';
import type {SoftwareVersion} from '../ids/software-version.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';

/** Report that a target sends about itself. Reports of one target are ordered by `born`, then by `sequence`. */
export type TargetReport = {
	readonly targetId: TargetId;
	readonly service: ServiceName;
	/** `ip:port`. */
	readonly address: string;
	readonly zone: Zone;
	readonly softwareVersion: SoftwareVersion;
	/** Requests that it processes at the same time. */
	readonly slots: number;
	readonly state: 'serving' | 'leaving';
	/** Time for which it is cold and must not get requests, in milliseconds from when the report is sent. */
	readonly coldMs: number;
	/** Set if the target is going to be terminated by force: time until then, in milliseconds. */
	readonly goneInMs?: number;
	/** Start of this incarnation, Unix time in milliseconds. */
	readonly born: number;
	readonly sequence: number;
};
