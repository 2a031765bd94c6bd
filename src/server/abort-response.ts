import type {ServerResponse} from 'node:http';

/** Aborts a response that has begun, so that it can't look complete: without chunks its connection alone ends it, which then has to be reset. */
export function abortResponse(res: ServerResponse): void {
	if (res.chunkedEncoding) {
		res.destroy();
	} else {
		res.socket?.resetAndDestroy();
	}
}
