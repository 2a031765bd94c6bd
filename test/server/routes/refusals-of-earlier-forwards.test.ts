import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import {RawTarget} from '../../fakes/raw-target.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {targetClientFixture} from '../../fixtures/target-client-fixture.ts';

/** Time after which a connection is idle again, in milliseconds. */
const settleMs = 50;

/** An entry that refuses the first request of a connection and writes that refusal again for the next one; `named`: it names the request in it. */
async function listen(t: ExecutionContext, {named}: {named: boolean}): Promise<string> {
	let refusal: string | undefined;
	const entry = new RawTarget(({headers}) => {
		refusal ??= `HTTP/1.1 503 Service Unavailable\r\nlovageferry-refused: overloaded\r\n${named ? `Request-Identifier: ${headers.get('request-identifier')!}\r\n` : ''}Content-Length: 0\r\n\r\n`;
		return {bytes: refusal, end: 'never'};
	});
	await entry.listen();
	t.teardown(async () => entry.close());
	return entry.address;
}

/** Forwards two requests in turn over one connection; returns the first event of each. */
async function forwardTwice(t: ExecutionContext, address: string): Promise<readonly EdgeEvent[]> {
	const client = targetClientFixture(t, {isOutcome: () => true});
	const outcomes: EdgeEvent[] = [];
	for (const key of ['id-1', 'id-2']) {
		outcomes.push(await client.send({key, address})); // eslint-disable-line no-await-in-loop
		await sleep(settleMs); // eslint-disable-line no-await-in-loop
	}

	return outcomes;
}

test('the refusal of an earlier request, written again on its connection, does not say of the next one that it has not run', async t => {
	const [first, second] = await forwardTwice(t, await listen(t, {named: true}));
	t.like(first, {type: 'attempt-head', head: {notRun: true, refusedBy: 'entry'}});
	t.like(second, {type: 'attempt-failed', failure: {reason: 'foreign-answer', notSent: false}});
});

test('a refusal of an entry of an earlier build, which names no request, is understood', async t => {
	const [first] = await forwardTwice(t, await listen(t, {named: false}));
	t.like(first, {type: 'attempt-head', head: {notRun: true, refusedBy: 'entry'}});
});

// Guards against refusals that the entry that forwarded the request can't tell from those of earlier requests of the connection.
test('an entry names the request in its refusal of one that was forwarded to it', async t => {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	deployment.desk[0]!.manner = 'full';
	const res = await deployment.forward({path: '/orders/1', body: 'order', headers: {'request-identifier': 'order-1'}});
	await res.body.dump();
	t.not(res.headers['lovageferry-refused'], undefined);
	t.is(res.headers['request-identifier'], 'order-1');
});
