import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Code that a reset connection's error gets in place of the system's. */
const resetCode = 'ERR_CONNECTION_RESET';
/** An empty line, which a peer that still reads ignores. */
const probe = '\r\n';

/**
 * Opens connections to targets. An answer without a length ends with its connection, unless that was reset; two
 * layers below hide a reset, so this one brings it out. The HTTP client takes the system's reset code for an end.
 * The event loop library reports an end where data and a reset come together; a write tells them apart.
 */
export function targetConnector(timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs, autoSelectFamily: false});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				renameReset(socket);
				confirmEnd(socket);
			}

			callback(...result);
		});
	};
}

function renameReset(socket: Socket): void {
	socket.prependListener('error', (error: NodeJS.ErrnoException) => {
		if (error.code === 'ECONNRESET') {
			error.code = resetCode;
		}
	});
}

/** Holds back the news that the peer has ended until a write shows that the connection was not reset. */
function confirmEnd(socket: Socket): void {
	const emitEvent = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
	socket.emit = (event: string | symbol, ...args: unknown[]) => {
		if (event !== 'end' || socket.destroyed || !socket.writable) {
			return emitEvent(event, ...args);
		}

		socket.write(probe, error => {
			if (!error) {
				emitEvent('end');
			}
		});
		return true;
	};
}
