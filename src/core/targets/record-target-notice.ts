import type {Outbox} from '../common/outbox.ts';
import type {Millis} from '../ids/millis.ts';
import type {TargetNotice} from './target-notice.ts';
import type {TargetSuspension} from './target-suspension.ts';

type NoticeSource = {
	readonly targetId: string;
	/** Incarnation that sent the notice. */
	readonly incarnation: number;
	/** Request that it answered. */
	readonly request: string;
};

/** Applies what a target said of the requests that it wants to its suspension, with a log line for what is new. */
export function recordTargetNotice(
	suspension: TargetSuspension,
	{leaving, pauseMs, unreadableHeaders = []}: TargetNotice,
	{source: {targetId, incarnation, request}, outbox}: {readonly source: NoticeSource; readonly outbox: Pick<Outbox, 'event'>},
	now: Millis,
): void {
	if (leaving && suspension.leave()) {
		outbox.event('target-leaving', {target: targetId, born: incarnation, request});
	}

	const news = pauseMs === undefined ? undefined : suspension.pause(pauseMs, now);
	if (news !== undefined) {
		outbox.event('target-paused', {
			target: targetId, born: incarnation, pauseMs, ignored: news === 'too-long' ? true : undefined, request,
		});
	}

	const unreadable = suspension.recordUnreadable(unreadableHeaders);
	if (unreadable.length > 0) {
		outbox.event('target-headers-unreadable', {target: targetId, headers: unreadable, request});
	}
}
