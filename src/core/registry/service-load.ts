import type {ServiceName} from '../ids/service-name.ts';

/** What an entry says of one service: how soon it could start a request at a target of its region. */
export type ServiceLoad = {
	readonly service: ServiceName;
	/** Targets that may get requests now. */
	readonly targets: number;
	/** Requests at those targets, of this entry. */
	readonly inFlight: number;
	/** Requests that wait at this entry. */
	readonly waiting: number;
	/** Predicted time to the start of a new request, in milliseconds. */
	readonly startMs: number;
	/** What else placing a request there is reckoned to cost, in milliseconds. */
	readonly extraMs: number;
};
