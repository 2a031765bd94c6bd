import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CoreEvent} from '../../src/core/events.ts';
import type {TargetId} from '../../src/core/ids/target-id.ts';
import {toId} from '../../src/core/ids/to-id.ts';
import {AttemptClient} from '../../src/server/attempt-client.ts';
import {CallerRequest} from '../../src/server/caller-request.ts';
import {PeerToken} from '../../src/server/peer-token.ts';
import {ProcessMemory} from '../../src/server/process-memory.ts';
import {blockEventLoop} from '../fixtures/block-event-loop.ts';
import {requestInfoFixture} from '../fixtures/request-info-fixture.ts';

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
	const info = requestInfoFixture({kind: 'completion', streamed: false});
	const outcome = new Promise<CoreEvent>(resolve => {
		const client = new AttemptClient({
			self: {nodeId: 'regina-1', region: 'regina'},
			token: new PeerToken(() => ['key']),
			memory: new ProcessMemory(),
			step(event) {
				if (event.type === 'attempt-end' || event.type === 'attempt-failed') {
					resolve(event);
				}
			},
		});
		t.teardown(async () => {
			target.closeAllConnections();
			target.close();
			await client.close();
		});
		client.start({
			type: 'start-attempt',
			requestId: info.requestId,
			attemptId: toId('attempt-1'),
			address: `${host}:${(target.address() as AddressInfo).port}`,
			targetId: toId<TargetId>('d1'),
			revision: 1,
			claimed: false,
			resume: false,
			standby: false,
			deadlineMs: timeoutMs,
			firstByteMs: timeoutMs,
			silenceMs: timeoutMs,
			keepBytes: 0,
		}, new CallerRequest({
			info,
			body: Buffer.from('{"messages":[{"role":"user","content":"hello"}]}'),
			method: 'POST',
			targetPath: '/v1/chat/completions',
			headers: {},
			res: new ServerResponse(new IncomingMessage(new Socket())),
			memory: new ProcessMemory(),
		}));
	});
	return outcome;
}

for (const waiting of ['for the head', 'within the answer'] as const) {
	test.serial(`a standstill of this process counts as its target's silence, ${waiting}`, async t => {
		t.like(await outcomeOf(t, waiting, {goesOn: true}), {type: 'attempt-end'});
	});

	test.serial(`a target may be silent for ever, ${waiting}`, async t => {
		t.like(await outcomeOf(t, waiting, {goesOn: false}), {type: 'attempt-failed', failure: {reason: 'silence'}});
	});
}
