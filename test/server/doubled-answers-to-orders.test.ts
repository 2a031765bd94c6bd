import {setImmediate as nextCycle} from 'node:timers/promises';
import test from 'ava';
import type {CoreEvent} from '../../src/core/events.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {OrderSender} from '../../src/server/order-sender.ts';
import {RawTarget} from '../fakes/raw-target.ts';

test('an order that an engine refuses is taken for done, since its answer to an earlier one is written once more', async t => {
	const done = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
	let answers = 0;
	const engine = new RawTarget(({earlier}) => {
		answers += 1;
		return {bytes: answers === 1 || earlier > 0 ? done : 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n', end: 'never'};
	});
	await engine.listen();
	t.teardown(async () => engine.close());
	const results: CoreEvent[] = [];
	const sender = new OrderSender({
		key: () => undefined,
		step(event) {
			results.push(event);
		},
	});
	t.teardown(async () => sender.close());
	for (const orderId of ['o-1', 'o-2']) {
		// eslint-disable-next-line no-await-in-loop
		await sender.send({
			orderId: toId(orderId), targetId: toId('e1'), address: engine.address, fencing: 1, validMs: 2000, action: {type: 'unload', model: toId('m')},
		});
		await nextCycle(); // eslint-disable-line no-await-in-loop
	}

	t.like(results, [{orderId: 'o-1', ok: true}, {orderId: 'o-2', ok: false}]);
});
