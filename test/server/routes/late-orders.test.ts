import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {blockEventLoop} from '../../fixtures/block-event-loop.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {sendAndLeave} from '../../fixtures/send-and-leave.ts';

const path = '/evacuations/regina-a';
/** Time that an operator waits for an answer, in milliseconds. */
const patienceMs = 1000;
/** Time in which an order that is carried out has reached the entry, in milliseconds. */
const effectMs = 1000;
/** Longest round trip between regions of the deployments, in milliseconds. */
const roundTripMs = 120;

for (const [name, endAfterMs] of [['together with', undefined], [`${roundTripMs} ms before`, roundTripMs]] as const) {
	for (const method of ['DELETE', 'POST'] as const) {
		// Guards against an order that was held up on its way and undoes a newer one that another control node has acknowledged.
		test(`an order that arrives ${name} the end of its operator's connection is not carried out, ${method}`, async t => {
			const deployment = await RoutesDeployment.start({desk: ['d1']});
			t.teardown(async () => deployment.close());
			const wanted = method === 'DELETE' ? 503 : 200;
			const answered = async () => {
				const res = await deployment.call();
				await res.body.dump();
				return res.statusCode;
			};

			t.is(await deployment.statusOf('POST', path), 200);
			t.is(method === 'DELETE' ? 200 : await deployment.statusOf('DELETE', path), 200);
			t.true(await deployment.waitUntil(async () => await answered() === wanted));
			await sendAndLeave(deployment.operatorPort, {method, path, endAfterMs});
			await sleep(effectMs);
			t.is(await answered(), wanted);
		});
	}
}

// Guards against a process that stood still and takes an order for new that its operator has given up meanwhile.
test('an order that arrives while the process stands still, and whose operator leaves meanwhile, is not carried out', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	const answered = async () => {
		const res = await deployment.call();
		await res.body.dump();
		return res.statusCode;
	};

	t.is(await deployment.statusOf('POST', path), 200);
	t.true(await deployment.waitUntil(async () => await answered() === 503));
	const left = sendAndLeave(deployment.operatorPort, {method: 'DELETE', path, endAfterMs: roundTripMs / 2});
	await sleep(roundTripMs / 4);
	// The order is read, and its end arrives while the process stands still beyond the time for which it looks for it.
	blockEventLoop(patienceMs / 2);
	await left;
	await sleep(effectMs);
	t.is(await answered(), 503);
});

test('the order of an operator who waits is carried out and acknowledged within a second', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	for (const method of ['POST', 'DELETE', 'POST', 'POST', 'DELETE', 'DELETE'] as const) {
		const sentAt = performance.now();
		t.is(await deployment.statusOf(method, path), 200); // eslint-disable-line no-await-in-loop
		t.true(performance.now() - sentAt < patienceMs);
	}
});
