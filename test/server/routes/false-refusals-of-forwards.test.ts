import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import type {AnswerHead} from '../../../src/core/edge/answer-head.ts';
import type {EngineManner} from '../../fakes/engine-manner.ts';
import {refuseOnce} from '../../fakes/refuse-once.ts';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {targetClientFixture} from '../../fixtures/target-client-fixture.ts';

/** Reports of an engine after which an entry uses it again, whatever it refused before. */
const reportsUntilUsed = 4;
const workMs = 50;
const keys = ['r-1', 'r-2', 'r-1', 'r-2', 'r-1'];

/** Forwards orders to an entry in turn; returns the heads of its answers, undefined for failed attempts. */
async function forwardAll(t: ExecutionContext, deployment: RoutesDeployment): Promise<ReadonlyArray<AnswerHead | undefined>> {
	const client = targetClientFixture(t, {region: 'winnipeg'});
	const heads: Array<AnswerHead | undefined> = [];
	for (const key of keys) {
		const event = await client.send({key, address: `127.0.0.1:${deployment.relayPort}`, body: Buffer.from('order')}); // eslint-disable-line no-await-in-loop
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
