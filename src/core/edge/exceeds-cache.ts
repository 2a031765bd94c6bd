import type {RequestRecord} from './request-record.ts';

/** True for a prompt that no engine of its service can hold: it is rejected, which says nothing of the engine or of other prompts. */
export function exceedsCache({req: {prompt}, table, service}: RequestRecord): boolean {
	return (prompt?.promptTokens ?? 0) > (table.service(service)?.engine?.cacheTokens ?? Number.POSITIVE_INFINITY);
}
