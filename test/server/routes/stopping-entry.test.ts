import {createConnection} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {blockEventLoop} from '../../fixtures/block-event-loop.ts';
import {platformConfiguration} from '../../fixtures/platform-configuration.ts';
import {readToEnd} from '../../fixtures/read-to-end.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

const timeoutMs = 20_000;
const headers = {'deadline-milliseconds': String(timeoutMs)};
const streamHeaders = {
	...headers, 'token-counts': '100,48', 'prompt-prefix': 'a1:60,b2:40', model: 'm',
};
const configurationVersion = 2;
/** Requests that one engine runs at a time, from its reports. */
const slots = 6;
const callers = 24;
/** Time for requests to reach their targets or queues once all have arrived, in milliseconds. */
const arrivalMs = 500;
const longAnswerBytes = 8_000_000;
/** Time for which a slow caller reads nothing, in milliseconds. */
const idleMs = 2500;
/** A standstill within the grace period of 4 s, from before the last answers are due until after the connections are to be closed. */
const standstillAfterMs = 2500;
const standstillMs = 1500;

/** Starts a deployment whose routes allow far more time than a stopping entry has. */
async function start(t: ExecutionContext, options: Parameters<typeof RoutesDeployment.start>[0]): Promise<RoutesDeployment> {
	const deployment = await RoutesDeployment.start(options);
	t.teardown(async () => deployment.close());
	const common = {
		host: 'prairie.example', 'timeout-ms': timeoutMs, 'target-latency-ms': timeoutMs, attempts: 1,
	};
	const status = await deployment.statusOf('PUT', '/configuration', platformConfiguration(configurationVersion, [
		{
			...common, name: 'orders', 'path-prefix': '/orders/', kind: 'unsafe', service: 'desk',
		},
		{
			...common, name: 'drafts', 'path-prefix': '/drafts/', kind: 'streaming', service: 'writers', 'target-gap-ms': 5000,
		},
	]));
	t.is(status, 200);
	t.true(await deployment.waitUntil(async () => await deployment.gauge('document_version') === configurationVersion));
	await sleep(arrivalMs);
	return deployment;
}

type Outcome = {readonly status?: number; readonly retryAfter?: boolean; readonly ran?: string; readonly error?: string};

/** What the caller of a refused request gets, or the error of a connection that ended without an answer. */
async function outcomeOf(call: ReturnType<RoutesDeployment['call']>): Promise<Outcome> {
	try {
		const {statusCode: status, headers: {'retry-after': delay}, body} = await call;
		const {ran} = await body.json() as {ran: string};
		return {status, retryAfter: delay !== undefined, ran};
	} catch (error) {
		return {error: (error as Error).message};
	}
}

for (const way of ['call', 'forward'] as const) {
	// Guards against requests cut off without an answer at the end of a stop, among them some that may not be repeated.
	test(`an unsafe request that its target still works on when the entry ends is answered, ${way}`, async t => {
		const deployment = await start(t, {desk: ['d1']});
		const [engine] = deployment.desk;
		engine!.manner = 'silent';
		const outcome = outcomeOf(deployment[way]({path: '/orders/1', headers, body: 'order'}));
		t.true(await deployment.waitUntil(() => engine!.receivedRequests.length === 1));
		await deployment.stopEntry();
		t.deepEqual(await outcome, {status: 504, retryAfter: false, ran: 'maybe'});
	});

	// Guards against requests cut off by an entry that stood still from before their last moment until its connections were to be closed.
	test.serial(`an unsafe request is answered by an entry that stands still while it stops, ${way}`, async t => {
		const deployment = await start(t, {desk: ['d1']});
		const [engine] = deployment.desk;
		engine!.manner = 'silent';
		const outcome = outcomeOf(deployment[way]({path: '/orders/1', headers, body: 'order'}));
		t.true(await deployment.waitUntil(() => engine!.receivedRequests.length === 1));
		const stopped = deployment.stopEntry();
		await sleep(standstillAfterMs);
		blockEventLoop(standstillMs);
		await stopped;
		t.deepEqual(await outcome, {status: 504, retryAfter: false, ran: 'maybe'});
	});

	// Guards against requests that waited for capacity and were cut off, though they had not run anywhere.
	test(`a request that waits when the entry stops is told that it has not run, ${way}`, async t => {
		const deployment = await start(t, {writers: ['w1']});
		const [engine] = deployment.writers;
		engine!.manner = 'silent';
		const outcomes = Array.from({length: callers}, async () => outcomeOf(deployment[way]({path: '/drafts/1', headers: streamHeaders})));
		// Requests that are still on their way when the entry stops are no requests that wait.
		const haveArrived = async () => engine!.receivedRequests.length >= slots && await deployment.gauge('requests_in_flight') === callers;
		t.true(await deployment.waitUntil(haveArrived));
		await sleep(arrivalMs);
		const sentCount = engine!.receivedRequests.length;
		t.is(sentCount, slots, 'the others wait');
		await deployment.stopEntry();
		const answers = await Promise.all(outcomes);
		t.is(engine!.receivedRequests.length, sentCount);
		t.deepEqual(answers.filter(({error}) => error !== undefined), []);
		t.is(answers.filter(({status, ran, retryAfter}) => status === 503 && ran === 'no' && retryAfter).length, outcomes.length - sentCount);
		t.is(answers.filter(({status, ran}) => status === 504 && ran === 'maybe').length, sentCount);
	});
}

// Guards against long answers that were handed over, but not yet read by their callers, when the entry closed its connections.
test('a caller that reads slowly gets the whole answer from an entry that stops', async t => {
	const deployment = await start(t, {desk: ['d1']});
	deployment.desk[0]!.callAnswer = 'x'.repeat(longAnswerBytes);
	const socket = createConnection(deployment.callerPort, '127.0.0.1');
	t.teardown(() => socket.destroy());
	socket.pause();
	socket.write(`POST /orders/1 HTTP/1.1\r\nHost: prairie.example\r\nRequest-Identifier: slow\r\nDeadline-Milliseconds: ${timeoutMs}\r\nContent-Length: 0\r\n\r\n`);
	const seen = await deployment.waitUntil(() => deployment.desk[0]!.receivedRequests.length === 1);
	if (!seen) {
		t.log(`${deployment.desk[0]!.receivedRequests.length} requests at the engine; the caller got: ${String(socket.read())}`);
	}

	t.true(seen);
	// An answer that the entry has not handed over yet is no answer that waits for its caller.
	t.true(await deployment.waitUntil(async () => await deployment.gauge('requests_in_flight') === 0 && await deployment.gauge('held_unread_bytes') > 0));
	await sleep(arrivalMs);
	const stopped = deployment.stopEntry();
	await sleep(idleMs);
	const received = await readToEnd(socket);
	await stopped;
	t.true(received > longAnswerBytes, `${received} bytes`);
});
