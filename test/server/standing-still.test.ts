import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CoreEvent} from '../../src/core/events.ts';
import {attemptClientFixture} from '../fixtures/attempt-client-fixture.ts';
import {blockEventLoop} from '../fixtures/block-event-loop.ts';

const host = '127.0.0.1';
const eventsEveryMs = 50;
/** Longest silence before the first byte and within an answer, in milliseconds. */
const timeoutMs = 1500;
/** How long the process reads nothing, in milliseconds. */
const stallMs = 4000;
/** How long the target goes on, in milliseconds. */
const afterStallMs = 500;

const head = {'content-type': 'text/event-stream'};
const event = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';

type Waiting = 'for the head' | 'within the answer';

/** Answers regularly; the process stands still meanwhile, or the target falls silent for ever. */
async function answer(res: ServerResponse, waiting: Waiting, {goesOn}: {goesOn: boolean}): Promise<void> {
	const streams = waiting === 'within the answer';
	if (streams) {
		res.writeHead(200, head);
		res.write(event);
	}

	await sleep(eventsEveryMs);
	if (!goesOn) {
		return;
	}

	blockEventLoop(stallMs);
	for (let passedMs = 0; passedMs < afterStallMs; passedMs += eventsEveryMs) {
		await sleep(eventsEveryMs); // eslint-disable-line no-await-in-loop
		if (streams) {
			res.write(event);
		}
	}

	if (!streams) {
		res.writeHead(200, head);
	}

	res.end('data: [DONE]\n\n');
}

/** Runs an attempt at a target; returns its last event. */
async function outcomeOf(t: ExecutionContext, waiting: Waiting, {goesOn}: {goesOn: boolean}): Promise<CoreEvent> {
	const target = createServer((req, res) => {
		req.resume();
		void answer(res, waiting, {goesOn});
	});
	target.listen(0, host);
	await once(target, 'listening');
	t.teardown(() => {
		target.closeAllConnections();
		target.close();
	});
	const events = await attemptClientFixture(t).send({
		address: `${host}:${(target.address() as AddressInfo).port}`, kind: 'completion', targetPath: '/v1/chat/completions', deadlineMs: timeoutMs, firstByteMs: timeoutMs, silenceMs: timeoutMs,
	});
	return events.at(-1)!;
}

for (const waiting of ['for the head', 'within the answer'] as const) {
	test.serial(`a standstill of this process counts as its target's silence, ${waiting}`, async t => {
		t.like(await outcomeOf(t, waiting, {goesOn: true}), {type: 'attempt-end'});
	});

	test.serial(`a target may be silent for ever, ${waiting}`, async t => {
		t.like(await outcomeOf(t, waiting, {goesOn: false}), {type: 'attempt-failed', failure: {reason: 'silence'}});
	});
}
