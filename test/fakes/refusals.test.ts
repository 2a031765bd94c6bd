import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {PlatformEngine} from './platform-engine.ts';
import type {RefusalPlan} from './refusal-plan.ts';

/** Reads answers of a connection until it has as many as asked for. */
async function readAnswers(socket: Socket, count: number): Promise<readonly string[]> {
	let text = '';
	while (true) {
		const answers = text.split(/(?=HTTP\/1\.1 )/v).filter(answer => answer !== '');
		if (answers.length === count && answers.at(-1)!.includes('\r\n\r\n')) {
			return answers;
		}

		const [chunk] = await once(socket, 'data') as [unknown]; // eslint-disable-line no-await-in-loop
		text += String(chunk);
	}
}

function request(id: string): string {
	return `GET / HTTP/1.1\r\nHost: prairie.example\r\nRequest-Identifier: ${id}\r\n\r\n`;
}

const cases: ReadonlyArray<{readonly when: NonNullable<RefusalPlan['copies']>['when']; readonly next: string; readonly copied: boolean}> = [
	{when: 'next', next: 'r-1', copied: true},
	{when: 'next', next: 'r-2', copied: true},
	{when: 'again', next: 'r-1', copied: true},
	{when: 'again', next: 'r-2', copied: false},
];

for (const {when, next, copied} of cases) {
	test(`a stand-in engine writes copies of another refusal than its own: ${when}, then ${next}`, async t => {
		const engine = new PlatformEngine('d-1', 25);
		await engine.listen();
		const plans: RefusalPlan[] = [{
			status: 503, body: '{}', retryAfter: '1', copies: {
				when, count: 2, delayMs: 1, parts: 3,
			},
		}];
		engine.planRefusal = () => plans.pop();
		const socket = connect(Number(engine.address.split(':')[1]), '127.0.0.1');
		t.teardown(async () => {
			socket.destroy();
			await engine.close();
		});
		socket.write(request('r-1'));
		const [refusal] = await readAnswers(socket, 1);
		t.regex(refusal!, /^HTTP\/1\.1 503 .*Not-Executed: 1.*\r\n\r\n\{\}$/sv);
		socket.write(request(next));
		const answers = await readAnswers(socket, copied ? 3 : 1);
		t.deepEqual(answers.slice(0, -1), copied ? [refusal, refusal] : []);
		t.regex(answers.at(-1)!, /^HTTP\/1\.1 200 /v);
		t.is(engine.runs.get(next), 1);
		t.is(engine.refusals.copiedInProgress, copied && next === 'r-1' ? 1 : 0);
	});
}

test('a stand-in engine that has taken a new id runs what was meant for the old one', async t => {
	const engine = new PlatformEngine('d-1');
	await engine.listen();
	t.teardown(async () => engine.close());
	engine.instanceId = 'd-1-1';
	const statuses: number[] = [];
	for (const expected of [{}, {'expected-instance': 'd-1'}, {'expected-instance': 'd-1-1'}] as ReadonlyArray<Record<string, string>>) {
		const res = await fetch(`http://${engine.address}/`, {headers: {...expected, 'request-identifier': 'r-1'}}); // eslint-disable-line no-await-in-loop
		await res.arrayBuffer(); // eslint-disable-line no-await-in-loop
		statuses.push(res.status);
	}

	t.deepEqual(statuses, [200, 421, 200]);
	t.is(engine.runs.get('r-1'), 2);
});
