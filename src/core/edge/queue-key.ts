import type {QueuedRequest} from '../admission/queued-request.ts';
import type {Millis} from '../ids/millis.ts';
import type {RequestRecord} from './request-record.ts';

/** What decides the place of a request in the queue of its service; `startMs` is the predicted time from its sending to its start, in milliseconds. */
export function queueKey({req, route, deadlineAt}: RequestRecord, startMs: number): Pick<QueuedRequest<RequestRecord>, 'priority' | 'onTimeUntil' | 'deadlineAt'> {
	return {priority: route.priority, onTimeUntil: req.arrivedAt + route.objectiveMs - startMs as Millis, deadlineAt};
}
