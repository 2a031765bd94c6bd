import http from 'node:http';

const defaultTimeoutMs = 5000;

/**
 * Makes one HTTP call on a connection of its own, or on that of `agent`. Resolves with the status, headers and text of
 * the answer; `status` is 0 and `error` is set if the connection ended before the answer was complete; `isKept` tells whether it had been used before.
 */
export async function call({host, port, method = 'GET', path = '/', headers = {}, body, timeoutMs = defaultTimeoutMs, agent = false}) {
	return new Promise(resolve => {
		const req = http.request({
			host, port, method, path, headers, agent,
		}, res => {
			let text = '';
			res.setEncoding('utf8');
			res.on('data', chunk => {
				text += chunk;
			});
			res.on('end', () => {
				resolve({
					status: res.statusCode, headers: res.headers, text, isKept: req.reusedSocket,
				});
			});
			res.on('error', error => {
				resolve({
					status: 0, headers: res.headers, text, error: error.code ?? error.message,
				});
			});
		});
		req.setTimeout(timeoutMs, () => {
			req.destroy(new Error('no answer in time'));
		});
		req.on('error', error => {
			resolve({
				status: 0, headers: {}, text: '', error: error.code ?? error.message, isKept: req.reusedSocket,
			});
		});
		req.end(body);
	});
}
