/** Runs a request as a sound engine with nothing else to do: answers at once, a stream with one event. */
export function answerAtOnce(req, res, body, engine) {
	const headers = engine.answerHeaders(req);
	if (req.headers['token-counts'] === undefined) {
		res.writeHead(200, headers).end('done');
		return;
	}

	res.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'}).end('id: 1\ndata: piece 1\n\n');
}
