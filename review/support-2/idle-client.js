import net from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Opens `count` channels to an address, sends nothing, and keeps them until it is killed: `node idle-client.js HOST PORT COUNT`. */
const [host, port, count] = process.argv.slice(2);
const openedAtOnce = 50;
const pauseMs = 20;

for (let opened = 0; opened < Number(count); opened++) {
	const socket = net.connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.resume();
	if (opened % openedAtOnce === 0) {
		await sleep(pauseMs); // eslint-disable-line no-await-in-loop
	}
}

setInterval(() => undefined, 60_000);
