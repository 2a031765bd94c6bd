import {once} from 'node:events';
import {createConnection} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {ApiServer} from '../../src/server/api-server.ts';
import {CallerApi} from '../../src/server/caller-api.ts';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {callRaw} from '../fixtures/call-raw.ts';
import {PortBlock} from '../harness/port-block.ts';

const settleMs = 200;

// Guards against a refusal that says of a request with a key that it has not run: an earlier one with the same key may have.
test('a request that a node with a settings tree has no memory for is refused as its pages say', async t => {
	const ports = await PortBlock.reserve();
	const port = ports.next();
	const callers = new CallerApi({
		region: 'regina', node: {tree: {revision: 7}}, metrics: {count: () => undefined},
	} as unknown as ConstructorParameters<typeof CallerApi>[0]);
	const server = new ApiServer({
		listen: {host: '127.0.0.1', port},
		routes: [{
			method: 'POST', path: '/s/', async handle(req) {
				await once(req, 'close');
			},
		}],
		memory: new ProcessMemory({heapBytes: 1}),
		refuseOverloaded(res) {
			callers.refuseOverloaded(res);
		},
	});
	await server.open();
	const held = createConnection(port, '127.0.0.1', () => {
		held.write('POST /s/pressdesk/orders HTTP/1.1\r\nHost: prairie.example\r\nContent-Length: 10\r\n\r\npart');
	}).on('error', () => undefined);
	t.teardown(async () => {
		held.destroy();
		await server.close();
		ports.release();
	});
	await once(held, 'connect');
	await sleep(settleMs);
	const answer = await callRaw(port, `POST /s/pressdesk/orders HTTP/1.1\r\nHost: prairie.example\r\nIdempotency-Key: order-1\r\nX: ${'x'.repeat(1000)}\r\nContent-Length: 4\r\n\r\n`);
	const [head = ''] = answer.split('\r\n\r\n');
	const problem = answer.slice(answer.indexOf('{'), answer.lastIndexOf('}') + 1);
	t.regex(head, /^HTTP\/1\.1 503 /v);
	t.regex(head, /\r\nretry-after: 1\r\n/iv);
	t.like(JSON.parse(problem), {code: 2001, ran: 'maybe'});
});
