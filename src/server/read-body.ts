import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {constants} from '../settings/constants.ts';
import {BodyBuffer} from './body-buffer.ts';
import {BodyError} from './body-error.ts';
import type {BodyHold} from './body-hold.ts';

/**
 * Reads the whole body of a request, of at most `maxBytes` bytes, within `constants.bodyTimeoutMs`.
 *
 * @param hold - Counts the body.
 * @throws BodyError if the body is too large or too slow, if it doesn't fit what the process may hold, or if the caller closes the connection.
 */
export async function readBody(req: IncomingMessage, maxBytes: number, hold?: BodyHold): Promise<Buffer> {
	const contentLength = Number(req.headers['content-length'] ?? 0);
	if (contentLength > maxBytes) {
		hold?.turnAway('oversized-body');
		throw new BodyError('tooLarge', `the body has ${contentLength} bytes, ${maxBytes} are allowed`);
	}

	return new Promise((resolve, reject) => {
		const body = new BodyBuffer();
		let isFinished = false;
		const timer = setTimeout(() => {
			hold?.turnAway('slow-body');
			finish(new BodyError('slowCaller', `the body did not arrive within ${constants.bodyTimeoutMs} ms`));
		}, constants.bodyTimeoutMs);
		const finish = (error?: BodyError) => {
			isFinished = true;
			clearTimeout(timer);
			req.off('data', receive);
			req.off('end', end);
			req.off('error', fail);
			req.off('close', close);
			if (error) {
				// The request may stay open for long; it must not keep what was received.
				body.clear();
				hold?.release();
				// A request that is destroyed emits its error later.
				req.on('error', () => undefined);
				reject(error);
				return;
			}

			const whole = body.take();
			if (hold?.complete(whole.length) === false) {
				hold.release();
				reject(new BodyError('overloaded', 'the requests in progress take too much memory'));
				return;
			}

			resolve(whole);
		};

		const receive = (chunk: Buffer) => {
			if (body.size + chunk.length > maxBytes) {
				hold?.turnAway('oversized-body');
				finish(new BodyError('tooLarge', `the body has more than ${maxBytes} bytes`));
				return;
			}

			const costBytes = body.push(chunk);
			if (hold?.receive(chunk.length, costBytes) === false) {
				if (!isFinished) {
					hold.turnAway('no-room-for-body');
				}

				finish(new BodyError('overloaded', 'the bodies of all requests take too much memory'));
			}
		};

		const end = () => {
			finish();
		};

		const fail = () => {
			finish(new BodyError('callerGone', 'the caller closed the connection'));
		};

		const close = () => {
			finish(req.complete ? undefined : new BodyError('callerGone', 'the caller closed the connection'));
		};

		hold?.onGivenUp(reason => {
			finish(reason === 'stalled'
				? new BodyError('slowCaller', 'the body hardly grows, and the bodies of all requests take too much memory')
				: new BodyError('overloaded', 'the bodies of all requests take too much memory'));
		});

		req.on('data', receive);
		req.once('end', end);
		req.once('error', fail);
		req.once('close', close);
	});
}
