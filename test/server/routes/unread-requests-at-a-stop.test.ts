import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {setImmediate as nextLoopTurn, setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {blockEventLoop} from '../../fixtures/block-event-loop.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const connections = 8;
/** Time after SIGTERM at which the entry stops accepting requests, and time around it in which its process stands still, in milliseconds. */
const acceptMs = 4000 / 3;
const stillMs = 700;

function requestOf(id: string): string {
	return `POST /calls/1 HTTP/1.1\r\nHost: prairie.example\r\nRequest-Identifier: ${id}\r\nDeadline-Milliseconds: 3000\r\nContent-Length: 5\r\n\r\nhello`;
}

/** Status line of the next answer; an empty text or an error's code if the connection ends instead. */
async function statusOf(socket: Socket): Promise<string> {
	return new Promise(resolve => {
		socket.once('data', bytes => {
			resolve(bytes.toString('latin1').split('\r\n')[0]!);
		}).once('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? error.message);
		}).once('close', () => {
			resolve('');
		});
	});
}

// Guards against requests that lie unread as a stopping entry, which stood still, closes its idle connections.
test('requests that arrived before a stopping entry closes its idle connections are answered though its process stood still', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1', 'd2']});
	t.teardown(async () => deployment.close());
	const sockets = await Promise.all(Array.from({length: connections}, async (_, index) => {
		const socket = connect(deployment.callerPort, '127.0.0.1');
		await once(socket, 'connect');
		socket.write(requestOf(`warm-${index}`));
		t.is(await statusOf(socket), 'HTTP/1.1 200 OK');
		return socket;
	}));
	const stopped = deployment.stopEntry();
	await sleep(acceptMs - (stillMs / 2));
	// Timers come first in the next turn, then reads.
	await nextLoopTurn();
	const statuses = Promise.all(sockets.map(async (socket, index) => {
		socket.write(requestOf(`unread-${index}`));
		return statusOf(socket);
	}));
	blockEventLoop(stillMs);
	const outcomes = await statuses;
	await stopped;
	t.deepEqual(outcomes.filter(status => !status.startsWith('HTTP/1.1 ')), []);
});
