import {once} from 'node:events';
import {createConnection, type AddressInfo} from 'node:net';
import test from 'ava';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {HttpServer} from '../../src/server/routes/http-server.ts';
import type {TurnedAway} from '../../src/server/turned-away.ts';

const headersTimeoutMs = 300;

test('a client whose head does not arrive in time is told so, and counted', async t => {
	const turnedAway: TurnedAway[] = [];
	const memory = new ProcessMemory({
		onTurnedAway(kind) {
			turnedAway.push(kind);
		},
	});
	const http = new HttpServer({
		key: 'test',
		listen: {host: '127.0.0.1', port: 0},
		kind: 'directory',
		memory,
		onError(error) {
			throw error;
		},
		handle(_req, res) {
			res.end();
		},
	});
	http.server.headersTimeout = headersTimeoutMs;
	await http.open();
	t.teardown(async () => http.close());
	const socket = createConnection((http.server.address() as AddressInfo).port, '127.0.0.1');
	socket.write('GET / HTTP/1.1\r\nHost: prairie.example\r\n');
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	t.true(new TextDecoder().decode(bytes).startsWith('HTTP/1.1 408'));
	t.deepEqual(turnedAway, ['slow-head']);
	socket.destroy();
});
