import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import buildUndiciConnector from 'undici/lib/core/connect.js';
import {AnswerLimitError} from './answer-limit-error.ts';
import {answerFraming} from './answer-framing.ts';
import {ConnectError} from './connect-error.ts';
import {pendingReads} from './pending-reads.ts';

/** Error code of a reset connection; replaces ECONNRESET, which the HTTP client treats as the end of the body. */
const resetCode = 'ERR_CONNECTION_RESET';
/** An empty line, which an HTTP server ignores before a request line. */
const probe = '\r\n';

type TargetConnectorOptions = {
	/** Called with the address of a connection that is reset, whether or not a request is in progress on it. */
	readonly onReset?: (address: string) => void;
};

/**
 * Creates the connector for connections to targets. An answer without a content length ends when its connection is
 * closed, so a reset must not look like a regular close. Two lower layers hide a reset: undici takes ECONNRESET for
 * the end of the body, and libuv reports end of file if data and a reset arrive together. The error code is therefore
 * replaced, and each end is confirmed by a write, which fails on a connection that was reset.
 *
 * Fails with a ConnectError, which no connection that was made ever raises: the codes of errors don't tell, since a
 * lost route ends connecting and a connection on which a request was sent with the same code.
 */
export function targetConnector(timeoutMs: number, {onReset}: TargetConnectorOptions = {}): buildConnector.connector {
	const connect = buildUndiciConnector({timeout: timeoutMs, autoSelectFamily: false});
	return (options, callback) => {
		connect(options, (...result) => {
			const [error, socket] = result;
			if (!socket) {
				callback(new ConnectError(error), null);
				return;
			}

			renameReset(socket, () => {
				onReset?.(`${options.hostname}:${options.port}`);
			});
			confirmEnd(socket);
			limitFraming(socket);
			void handOver(socket, callback);
		});
	};
}

/**
 * Hands a new connection to the HTTP client, which writes the request at once. In a busy process the caller may have
 * left since the request was started, which other connections tell that have not been read yet.
 */
async function handOver(socket: Socket, callback: buildConnector.Callback): Promise<void> {
	await pendingReads();
	if (socket.destroyed) {
		callback(new ConnectError(new Error('the target closed the connection before a request was sent')), null);
		return;
	}

	callback(null, socket);
}

function renameReset(socket: Socket, onReset: () => void): void {
	socket.prependListener('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'ECONNRESET') {
			error.code = resetCode;
			onReset();
		}
	});
}

/** Ends a connection that receives bytes without end that are no body of an answer. */
function limitFraming(socket: Socket): void {
	const read = socket.read.bind(socket) as (size?: number) => unknown;
	socket.read = (size?: number) => {
		if (answerFraming.isExcessive(socket)) {
			socket.destroy(new AnswerLimitError('an answer without its body', answerFraming.maxBytes));
			return null;
		}

		return read(size);
	};
}

/** Delays the socket's `end` event until a write has shown that the connection was not reset. */
function confirmEnd(socket: Socket): void {
	const emitEvent = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
	socket.emit = (event: string | symbol, ...args: unknown[]) => {
		if (event !== 'end' || socket.destroyed || !socket.writable) {
			return emitEvent(event, ...args);
		}

		// The target ended its side before it can have taken the whole request: nothing that only this end completes is whole.
		if (socket.writableLength > 0) {
			socket.destroy(Object.assign(new Error('the target ended the connection before the request was written'), {code: resetCode}));
			return true;
		}

		socket.write(probe, error => {
			if (!error) {
				emitEvent('end');
			}
		});
		return true;
	};
}
