import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';

/**
 * Sends one request on a new channel.
 *
 * @returns the answer's `status`, `headers`, `body` and whether it is `complete`; `error` if there is none.
 */
export async function callHttp({host, port, method, path, headers = {}, body, timeoutMs, agent = false}) {
	return new Promise(resolve => {
		const startedAt = performance.now();
		const req = request({
			host, port, method, path, headers: {...headers, ...body === undefined ? {} : {'content-length': Buffer.byteLength(body)}}, agent,
		});
		const finish = result => {
			clearTimeout(timer);
			resolve({...result, tookMs: Math.round(performance.now() - startedAt)});
		};

		const timer = setTimeout(() => {
			finish({error: 'no answer in time'});
			req.destroy();
		}, timeoutMs);
		req.on('error', error => {
			finish({error: error.code ?? error.message});
		});
		req.on('response', res => {
			const chunks = [];
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				finish({
					status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('latin1'), complete: res.complete,
				});
			});
		});
		req.end(body);
	});
}
