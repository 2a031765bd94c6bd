import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import type {CoreRunner} from '../../src/server/core-runner.ts';
import type {GatewayNode} from '../../src/server/gateway-node.ts';
import {OperatorApi} from '../../src/server/operator-api.ts';
import {sha256} from '../../src/server/sha256.ts';
import {sendAndLeave} from '../fixtures/send-and-leave.ts';

const headers = {authorization: 'Bearer key'};
const path = '/v1/keepers/accept-loss';
/** Time in which a decision that is carried out has reached the core, in milliseconds. */
const effectMs = 500;

/** A server of `accept-loss` whose node records the epochs that it is given. */
async function start(t: ExecutionContext) {
	const epochs: Array<number | undefined> = [];
	const node: Partial<GatewayNode> = {
		acceptLoss(epoch) {
			epochs.push(epoch);
			return true;
		},
	};
	const runner: Partial<CoreRunner> = {now: () => 0 as ReturnType<CoreRunner['now']>};
	const api = new OperatorApi({
		node: node as GatewayNode, runner: runner as CoreRunner, region: 'regina', operators: () => [{name: 'op', sha256: sha256('key')}],
	});
	const server = createServer(async (req, res) => api.acceptLoss(req, res));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	return {epochs, port: (server.address() as AddressInfo).port};
}

// Guards against the acceptance of a later loss, which its operator has not seen, by a decision that was held up on its way.
test('a decision that names no epoch is dropped once its operator has left', async t => {
	const {epochs, port} = await start(t);
	await sendAndLeave(port, {method: 'POST', path, headers});
	await sendAndLeave(port, {
		method: 'POST', path, headers, endAfterMs: 120,
	});
	await sleep(effectMs);
	t.deepEqual(epochs, []);
});

test('a decision names the epoch that it is about, and one that names none is carried out while its operator waits', async t => {
	const {epochs, port} = await start(t);
	for (const body of ['{"epoch":3}', '{}', undefined]) {
		const res = await request(`http://127.0.0.1:${port}${path}`, {method: 'POST', headers, body}); // eslint-disable-line no-await-in-loop
		t.is(res.statusCode, 200);
		await res.body.dump(); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(epochs, [3, undefined, undefined]);
});
