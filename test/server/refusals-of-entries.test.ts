import {setImmediate as nextCycle} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CoreEvent} from '../../src/core/events.ts';
import {ApiServer} from '../../src/server/api-server.ts';
import {makeProblem} from '../../src/server/make-problem.ts';
import {sendProblem} from '../../src/server/send-problem.ts';
import {PortBlock} from '../harness/port-block.ts';
import {RawTarget} from '../fakes/raw-target.ts';
import {attemptClientFixture} from '../fixtures/attempt-client-fixture.ts';

const refusal = JSON.stringify(makeProblem({result: 'overloaded', ran: 'no', retryAfterMs: 1000}, {region: 'winnipeg', revision: 1}));

function answer(status: string, headers: readonly string[], body: string): string {
	return [`HTTP/1.1 ${status}`, ...headers, `Content-Length: ${body.length}`, '', body].join('\r\n');
}

/** Sends an order to another entry, or to a target, that sends these bytes; returns the event that ends the attempt. */
async function outcomeOf(t: ExecutionContext, bytes: string, hop: 'entry' | 'target'): Promise<CoreEvent> {
	const target = new RawTarget(() => ({bytes, end: 'never'}));
	await target.listen();
	t.teardown(async () => target.close());
	return send(t, target.address, hop);
}

async function send(t: ExecutionContext, address: string, hop: 'entry' | 'target'): Promise<CoreEvent> {
	const events = await attemptClientFixture(t).send({
		attemptId: 'attempt-2', address, hop, claimed: true,
	});
	return events.at(-1)!;
}

const problem = 'Content-Type: application/problem+json';

for (const [name, headers, body] of [
	['names an earlier attempt, written again', ['Lovageferry-Attempt: attempt-1', 'Lovageferry-Ran: no'], refusal],
	['names no attempt, and is none of an entry', [], '{"type":"about:blank","result":"overloaded","ran":"no"}'],
] as const) {
	test(`an order that runs behind another entry is said not to have run: the refusal ${name}`, async t => {
		const outcome = await outcomeOf(t, answer('503 Service Unavailable', [problem, ...headers], body), 'entry');
		t.like(outcome, {type: 'attempt-failed', failure: {notSent: false}});
		t.not(outcome.type === 'attempt-failed' && outcome.failure.refusal?.ran, 'no');
	});
}

for (const status of ['503 Service Unavailable', '401 Unauthorized']) {
	// An entry of an earlier build names no attempt.
	test(`the refusal of an entry of an earlier build is not understood, or is used for another order on its connection: ${status}`, async t => {
		const target = new RawTarget(({earlier}) => ({bytes: answer(earlier === 0 ? status : '200 OK', [problem], refusal), end: 'never'}));
		await target.listen();
		t.teardown(async () => target.close());
		const client = attemptClientFixture(t);
		for (let count = 0; count < 2; count++) {
			const events = await client.send({address: target.address, hop: 'entry', claimed: true}); // eslint-disable-line no-await-in-loop
			t.like(events.at(-1), {type: 'attempt-failed', failure: {notSent: true, use: {earlierRequests: 0}}});
			await nextCycle(); // eslint-disable-line no-await-in-loop
		}
	});
}

test('the problem document of a service behind another entry is taken for a refusal of that entry', async t => {
	const outcome = await outcomeOf(t, answer('422 Unprocessable Content', [problem, 'Lovageferry-Attempt: attempt-2'], '{"title":"out of stock","ran":"no"}'), 'entry');
	t.is(outcome.type, 'attempt-end');
});

test('an entry whose refusal names no attempt can\'t be believed that an order has not run', async t => {
	const ports = await PortBlock.reserve();
	const port = ports.next();
	const server = new ApiServer({
		listen: {host: '127.0.0.1', port},
		routes: [{
			method: '*', path: '/', handle(_req, res) {
				sendProblem(res, makeProblem({result: 'overloaded', ran: 'no', retryAfterMs: 1000}, {region: 'winnipeg', revision: 1}));
			},
		}],
	});
	await server.open();
	t.teardown(async () => {
		await server.close();
		ports.release();
	});
	const outcome = await send(t, `127.0.0.1:${port}`, 'entry');
	t.like(outcome, {type: 'attempt-failed', failure: {reason: 'refused', notSent: true, refusal: {result: 'overloaded', ran: 'no'}}});
});

test('the refusal of a service that names no attempt is passed on as its answer', async t => {
	const outcome = await outcomeOf(t, answer('429 Too Many Requests', ['Lovageferry-Ran: no'], ''), 'target');
	t.like(outcome, {type: 'attempt-failed', failure: {reason: 'error-status', notSent: false}});
});

for (const status of ['503 Service Unavailable', '429 Too Many Requests', '408 Request Timeout', '421 Misdirected Request']) {
	// Guards against an order that runs behind another entry, while something in front of that entry answers for it.
	test(`a status that says "not run", of an answer that no entry wrote, is passed on as the answer of a service: ${status}`, async t => {
		const outcome = await outcomeOf(t, answer(status, ['Content-Type: text/html'], '<html></html>'), 'entry');
		t.like(outcome, {type: 'attempt-failed', failure: {reason: 'error-status', notSent: false}});
	});
}

test('a service behind another entry can\'t ask its callers for fewer requests', async t => {
	const outcome = await outcomeOf(t, answer('429 Too Many Requests', ['Content-Type: text/plain', 'Lovageferry-Attempt: attempt-2'], 'later'), 'entry');
	t.is(outcome.type, 'attempt-end');
});
