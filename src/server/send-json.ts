import type {ServerResponse} from 'node:http';

/** Sends a JSON response. Does nothing if a response was started. */
export function sendJson(res: ServerResponse, body: unknown, status = 200): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
