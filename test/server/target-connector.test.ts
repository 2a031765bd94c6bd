import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {Agent} from 'undici';
import {targetConnector} from '../../src/server/target-connector.ts';

const connectTimeoutMs = 2000;

/** Starts a target that answers without a content length and then ends its connection with `end`. */
async function listen(t: ExecutionContext, end: (socket: Socket) => void, pauseMs = 50): Promise<string> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it', () => {
				if (pauseMs === 0) {
					end(socket);
				} else {
					setTimeout(end, pauseMs, socket);
				}
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function read(t: ExecutionContext, origin: string): Promise<string> {
	const agent = new Agent({connect: targetConnector(connectTimeoutMs)});
	t.teardown(async () => agent.destroy());
	const res = await agent.request({origin, path: '/', method: 'GET'});
	return res.body.text();
}

test('an answer without a content length fails if its connection is reset', async t => {
	const origin = await listen(t, socket => {
		socket.resetAndDestroy();
	});
	await t.throwsAsync(read(t, origin));
});

test('an answer without a content length fails if its last bytes and the reset arrive together', async t => {
	const origin = await listen(t, socket => {
		socket.resetAndDestroy();
	}, 0);
	for (let round = 0; round < 20; round++) {
		await t.throwsAsync(read(t, origin)); // eslint-disable-line no-await-in-loop
	}
});

test('an answer without a content length ends when its connection is closed', async t => {
	const origin = await listen(t, socket => {
		socket.end();
	});
	t.is(await read(t, origin), 'half of it');
});
