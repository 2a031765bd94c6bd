import type {RequestRecord} from './request-record.ts';

/** The target or region that a request is at, for logs. */
export function destinationOf({running}: RequestRecord): string | undefined {
	return running?.targetId ?? running?.forwardedTo?.region;
}
