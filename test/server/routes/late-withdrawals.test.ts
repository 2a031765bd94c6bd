import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import test, {type ExecutionContext} from 'ava';
import {RoutesDeployment} from '../../fixtures/routes-deployment.ts';
import {sendAndLeave} from '../../fixtures/send-and-leave.ts';

/** Time that a target waits for an answer, in milliseconds. */
const patienceMs = 1000;
/** Time in which a withdrawal that is carried out has reached the entry, in milliseconds. */
const effectMs = 1000;
const path = '/instances/d1';
const earlier = {born: 500, sequence: 1};
const later = {born: 2000, sequence: 1};

/** A deployment whose only target reports by hand from here on. */
async function start(t: ExecutionContext) {
	const deployment = await RoutesDeployment.start({desk: ['d1']});
	t.teardown(async () => deployment.close());
	await deployment.stopReports();
	const {address, softwareVersion} = deployment.desk[0]!;
	const reportBody = (incarnation: typeof earlier) => JSON.stringify({
		service: 'desk', address, zone: 'regina-a', version: softwareVersion, slots: 6, state: 'ready', 'cold-remaining-ms': 0, ...incarnation,
	});
	const isServing = async () => {
		const res = await deployment.call();
		await res.body.dump();
		return res.statusCode === 200;
	};

	/** Calls the control node on a connection of its own, or on that of `dispatcher`. */
	const callControl = async (method: 'PUT' | 'DELETE', body?: string, dispatcher = new Agent()) => {
		const res = await request(`http://127.0.0.1:${deployment.operatorPort}${path}`, {method, body, dispatcher});
		await res.body.dump();
		return res.statusCode;
	};

	return {
		deployment, reportBody, isServing, callControl,
	};
}

// Guards against a target that serves and reports and gets no requests, since a withdrawal of its predecessor came late.
test('a withdrawal ends no later incarnation than the one that reported on its connection', async t => {
	const {reportBody, isServing, callControl} = await start(t);
	const dispatcher = new Agent({connections: 1});
	t.teardown(async () => dispatcher.close());
	t.is(await callControl('PUT', reportBody(earlier), dispatcher), 200);
	t.is(await callControl('PUT', reportBody(later)), 200);
	t.is(await callControl('DELETE', undefined, dispatcher), 200);
	t.is(await callControl('PUT', reportBody({...later, sequence: 2})), 200);
	await sleep(effectMs);
	t.true(await isServing());
});

for (const [name, endAfterMs] of [['together with', undefined], ['a trip before', 120]] as const) {
	// Guards against the same on a connection that tells no incarnation.
	test(`a withdrawal that arrives ${name} the end of its connection ends no incarnation`, async t => {
		const {deployment, reportBody, isServing, callControl} = await start(t);
		t.is(await callControl('PUT', reportBody(later)), 200);
		await sendAndLeave(deployment.operatorPort, {method: 'DELETE', path, endAfterMs});
		t.is(await callControl('PUT', reportBody({...later, sequence: 2})), 200);
		await sleep(effectMs);
		t.true(await isServing());
	});
}

test('the withdrawal of a target that waits is acknowledged within a second and carried out, on a connection of its own or that of its reports', async t => {
	for (const sharesConnection of [true, false]) {
		const {deployment, reportBody, isServing, callControl} = await start(t); // eslint-disable-line no-await-in-loop
		const dispatcher = new Agent({connections: 1});
		t.teardown(async () => dispatcher.close());
		t.is(await callControl('PUT', reportBody(later), dispatcher), 200); // eslint-disable-line no-await-in-loop
		t.true(await isServing()); // eslint-disable-line no-await-in-loop
		const sentAt = performance.now();
		t.is(await callControl('DELETE', undefined, sharesConnection ? dispatcher : undefined), 200); // eslint-disable-line no-await-in-loop
		t.true(performance.now() - sentAt < patienceMs);
		t.is(await callControl('PUT', reportBody({...later, sequence: 9})), 200); // eslint-disable-line no-await-in-loop
		t.true(await deployment.waitUntil(async () => !await isServing())); // eslint-disable-line no-await-in-loop
	}
});
