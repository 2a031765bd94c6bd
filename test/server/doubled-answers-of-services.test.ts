import {setImmediate as nextCycle} from 'node:timers/promises';
import test from 'ava';
import {RawTarget} from '../fakes/raw-target.ts';
import {attemptClientFixture} from '../fixtures/attempt-client-fixture.ts';

for (const status of ['429 Too Many Requests', '408 Request Timeout', '421 Misdirected Request']) {
	test(`an order that a service runs gets that service's earlier answer, written once more: ${status}`, async t => {
		const answers: string[] = [];
		// Names no attempt, as a service that knows nothing of entries.
		const refusal = `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`;
		const target = new RawTarget(({earlier}) => {
			const bytes = answers.length === 0 || earlier > 0 ? refusal : 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone';
			answers.push(bytes);
			return {bytes, end: 'never'};
		});
		await target.listen();
		t.teardown(async () => target.close());
		const client = attemptClientFixture(t);
		const send = async (attemptId: string) => {
			const events = await client.send({
				attemptId, address: target.address, claimed: true, keepBytes: 200,
			});
			return events.at(-1);
		};

		t.like(await send('attempt-1'), {type: 'attempt-end', answer: {status: Number.parseInt(status, 10)}});
		await nextCycle();
		t.like(await send('attempt-2'), {type: 'attempt-end', answer: {status: 200}});
	});
}
