import type {ServiceName} from '../ids/service-name.ts';
import type {TargetId} from '../ids/target-id.ts';
import type {Zone} from '../ids/zone.ts';

/** What a target says of itself. Reports of one target are ordered by `born`, then by `sequence`. */
export type TargetReport = {
	readonly targetId: TargetId;
	readonly service: ServiceName;
	/** `ip:port`. */
	readonly address: string;
	readonly zone: Zone;
	/** Requests that it works on at once. */
	readonly slots: number;
	readonly state: 'serving' | 'leaving';
	/** Time for which it must be spared, in milliseconds from the sending of the report. */
	readonly coldMs: number;
	/** Set if the target is taken away by force: time until then, in milliseconds. */
	readonly goneInMs?: number;
	/** Start of this incarnation, Unix time in milliseconds. */
	readonly born: number;
	readonly sequence: number;
};
