import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

const chunkBytes = 65_536;
/** Bound that no reader should get to, in bytes. */
const maxBytes = 268_435_456;

/** Writes filler to a connection until the other side closes it; resolves with the number of bytes written. */
export async function writeEndlessly(socket: Socket, filler: string): Promise<number> {
	const chunk = Buffer.from(filler.repeat(Math.ceil(chunkBytes / filler.length)));
	let written = 0;
	return new Promise(resolve => {
		socket.on('error', () => undefined);
		socket.once('close', () => {
			resolve(written);
		});
		const writeNext = () => {
			if (socket.destroyed) {
				return;
			}

			if (written >= maxBytes) {
				socket.destroy();
				return;
			}

			written += chunk.length;
			if (socket.write(chunk)) {
				setImmediate(writeNext);
			} else {
				socket.once('drain', writeNext);
			}
		};

		writeNext();
	});
}
