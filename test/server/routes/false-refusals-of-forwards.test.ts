import {Buffer} from 'node:buffer';
import {EventEmitter, once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {platformRequestCodec} from '../../../platform/platform-request-codec.ts';
import type {AnswerHead} from '../../../src/core/edge/answer-head.ts';
import type {EdgeEvent} from '../../../src/core/edge/edge-event.ts';
import type {AttemptNumber} from '../../../src/core/ids/attempt-number.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {ProcessMemory} from '../../../src/server/process-memory.ts';
import {TargetClient} from '../../../src/server/routes/target-client.ts';
import type {EngineManner} from '../../fakes/engine-manner.ts';
import {refuseOnce} from '../../fakes/refuse-once.ts';
import {callerExchangeFixture} from '../../fixtures/caller-exchange-fixture.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';

/** Reports of an engine after which an entry uses it again, whatever it refused before. */
const reportsUntilUsed = 4;
const workMs = 50;
const keys = ['r-1', 'r-2', 'r-1', 'r-2', 'r-1'];

/** Forwards orders to an entry in turn; returns the heads of its answers, undefined for failed attempts. */
async function forwardAll(t: ExecutionContext, deployment: RoutesDeployment): Promise<ReadonlyArray<AnswerHead | undefined>> {
	const events = new EventEmitter();
	const client = new TargetClient({
		region: toId('winnipeg'),
		forwards: {},
		codec: platformRequestCodec,
		memory: new ProcessMemory(),
		step(event) {
			if (event.type === 'attempt-head' || event.type === 'attempt-failed') {
				events.emit('outcome', event);
			}
		},
	});
	t.teardown(async () => client.close());
	const heads: Array<AnswerHead | undefined> = [];
	for (const [index, key] of keys.entries()) {
		const outcome = once(events, 'outcome') as Promise<[EdgeEvent]>;
		client.start({
			type: 'start', attempt: index as AttemptNumber, requestId: toId(`r${index}`),
			address: `127.0.0.1:${deployment.relayPort}`, deadlineMs: 3000, urgency: 1, fresh: false, stream: false, service: toId('desk'), documentVersion: 1,
		}, callerExchangeFixture(key, Buffer.from('order')));
		const [event] = await outcome; // eslint-disable-line no-await-in-loop
		heads.push(event.type === 'attempt-head' ? event.head : undefined);
		await deployment.waitForReports(reportsUntilUsed); // eslint-disable-line no-await-in-loop
	}

	return heads;
}

/** `copied`: refuses an order once, and writes the refusal once more if the order comes again on the same connection. */
for (const manner of ['full', 'nameless', 'doubled', 'copied', 'foreign', 'unsigned', 'reset', 'bodiless'] as const satisfies ReadonlyArray<EngineManner | 'copied'>) {
	test(`an entry refuses an order that was forwarded to it as not run, though its engine ran it, or got it twice on one connection: ${manner}`, async t => {
		const deployment = await RoutesDeployment.start({desk: ['d1']});
		t.teardown(async () => deployment.close());
		const [engine] = deployment.desk;
		Object.assign(engine!, {workMs, ...manner === 'copied' ? {planRefusal: refuseOnce()} : {manner}});
		const heads = await forwardAll(t, deployment);
		const carried = heads.flatMap((head, index) => head?.use === undefined || head.status === 200 ? [] : [`${keys[index]!} on ${head.use.connection}`]);
		t.is(new Set(carried).size, carried.length, carried.join(', '));
		for (const key of new Set(keys)) {
			const refusals = heads.filter((head, index) => keys[index] === key && (head?.notRun ?? false)).length;
			const runs = engine!.runs.get(key) ?? 0;
			const sent = keys.filter(each => each === key).length;
			t.true(refusals + runs <= sent, `${key}: sent ${sent} times, refused as not run ${refusals} times, ran ${runs} times`);
		}
	});
}
