import type {OrganisationId} from '../../core/ids/organisation-id.ts';
import type {TargetId} from '../../core/ids/target-id.ts';

/** Values of the headers that the gateway adds to a request it sends. */
export type OutgoingHeaderOptions = {
	/** Time left for the answer, in milliseconds. */
	readonly deadlineMs: number;
	/** The target that must answer; undefined in a request to another entry. */
	readonly targetId?: TargetId;
	/** Priority for the engine's scheduling, 0 (most urgent) to 9. */
	readonly urgency: number;
	/** Id of the event after which a stream is to be resumed. */
	readonly resumeAfter?: string;
	/** The organisation whose request it is; the receiver gets its name. */
	readonly organisation?: OrganisationId;
	/** True if the head's `credentialHeaders` are copied. @default false */
	readonly passesCredentials?: boolean;
};
