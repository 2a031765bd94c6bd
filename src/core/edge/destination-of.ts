import type {RequestRecord} from './request-record.ts';

/** The target that runs the attempt in progress, or the region it was forwarded to, for logs. */
export function destinationOf({running}: RequestRecord): string | undefined {
	return running?.targetId ?? running?.forwardedTo?.region;
}
