import {pauseStatus} from '../core/targets/pause-status.ts';
import type {TargetNotice} from '../core/targets/target-notice.ts';
import {readFlag} from './read-flag.ts';
import {readRetryAfterMs} from './read-retry-after-ms.ts';

const leavingHeader = 'lovageferry-leaving';
const retryAfterHeader = 'retry-after';

type HeaderValues = Readonly<Record<string, string | string[] | undefined>>;

/** Reads what a target says in the head of an answer of the requests that it wants; undefined if it says nothing. A header that is given twice counts as unreadable. */
export function readTargetNotice(status: number, headers: HeaderValues): TargetNotice | undefined {
	const leaving = readFlag(single(headers, leavingHeader));
	const retryAfterMs = readRetryAfterMs(single(headers, retryAfterHeader));
	const unreadableHeaders = [
		...leaving === undefined && headers[leavingHeader] !== undefined ? [leavingHeader] : [],
		...retryAfterMs === undefined && headers[retryAfterHeader] !== undefined ? [retryAfterHeader] : [],
	];
	const pauseMs = status === pauseStatus ? retryAfterMs : undefined;
	return leaving === true || pauseMs !== undefined || unreadableHeaders.length > 0 ? {leaving: leaving ?? false, pauseMs, unreadableHeaders} : undefined;
}

function single(headers: HeaderValues, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) || value?.includes(',') ? undefined : value;
}
