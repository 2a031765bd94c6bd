import type {ServerResponse} from 'node:http';

/** Refuses a request that was not read any further, for which the process has no memory. */
export function refuseRequest(res: ServerResponse): void {
	res.writeHead(503, {connection: 'close', 'content-type': 'application/problem+json', 'retry-after': '1'})
		.end(JSON.stringify({title: 'the requests in progress take too much memory', ran: 'no'}));
}
