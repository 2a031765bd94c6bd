import type {ServerResponse} from 'node:http';

/** Answers with a JSON document. */
export function sendJson(res: ServerResponse, body: unknown, status = 200): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
